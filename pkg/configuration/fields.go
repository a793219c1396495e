package configuration

import (
	"errors"
	"reflect"
	"strings"

	"github.com/go-playground/validator/v10"
)

// FieldFault is a document field that violates its validate tag.
type FieldFault struct {
	// Path is the path of the field in JSON names, separated by dots.
	Path string
	// Rule is the violated rule of the tag, such as max=128.
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

// FieldFaults returns the fields of a document that violate their validate tags.
// It checks no relations between fields or documents.
func FieldFaults(document any) []FieldFault {
	err := fieldValidator.Struct(document)
	if err == nil {
		return nil
	}
	var fieldErrors validator.ValidationErrors
	if !errors.As(err, &fieldErrors) {
		return []FieldFault{{Rule: err.Error()}}
	}
	faults := make([]FieldFault, 0, len(fieldErrors))
	for _, fieldError := range fieldErrors {
		_, path, _ := strings.Cut(fieldError.Namespace(), ".")
		rule := strings.TrimSuffix(fieldError.Tag()+"="+fieldError.Param(), "=")
		faults = append(faults, FieldFault{Path: path, Rule: rule})
	}
	return faults
}
