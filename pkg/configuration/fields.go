package configuration

import (
	"errors"
	"reflect"
	"strings"

	"github.com/go-playground/validator/v10"
)

// FieldFault is a field of a document that breaks its validate tag.
type FieldFault struct {
	// Path names the field by its JSON names.
	Path string
	// Rule is the broken part of the tag, such as max=128.
	Rule string
}

var fieldValidator = newFieldValidator()

func newFieldValidator() *validator.Validate {
	validate := validator.New(validator.WithRequiredStructEnabled())
	validate.RegisterTagNameFunc(func(field reflect.StructField) string {
		name, _, _ := strings.Cut(field.Tag.Get("json"), ",")
		return name
	})
	return validate
}

// FieldFaults checks each field of a document by itself.
func FieldFaults(document any) []FieldFault {
	err := fieldValidator.Struct(document)
	if err == nil {
		return nil
	}
	var fields validator.ValidationErrors
	if !errors.As(err, &fields) {
		return []FieldFault{{Rule: err.Error()}}
	}
	faults := make([]FieldFault, 0, len(fields))
	for _, field := range fields {
		_, path, _ := strings.Cut(field.Namespace(), ".")
		rule := strings.TrimSuffix(field.Tag()+"="+field.Param(), "=")
		faults = append(faults, FieldFault{Path: path, Rule: rule})
	}
	return faults
}
