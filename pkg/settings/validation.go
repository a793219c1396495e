package settings

import (
	"errors"
	"fmt"
	"net/netip"
	"reflect"
	"strings"

	"github.com/go-playground/validator/v10"

	"gitlab.com/wisterialb/wisterialb/pkg/upstream"
)

// tagRow says what a broken validate tag means. A %s stands for the tag's
// parameter.
type tagRow struct {
	message string
	remedy  string
}

// tagRows is the one table of validate tags that Settings uses.
var tagRows = map[string]tagRow{
	"required":    {"is missing", "add it"},
	"ip_port":     {"is no IP number and port", "write it as 10.0.0.1:8080"},
	"min":         {"is less than %s", "write %s or more"},
	"max":         {"is more than %s", "write %s or less"},
	"len":         {"is not %s characters long", "write the hexadecimal SHA-256 of the token"},
	"hexadecimal": {"is not hexadecimal", "write the hexadecimal SHA-256 of the token"},
	"policy":      {"is no policy", "write one of: " + policyNames()},
	"oneof":       {"is none of the known values", "write one of: %s"},
}

// lengthUnits are the units of min and max for kinds that have a length.
var lengthUnits = map[reflect.Kind]string{
	reflect.String: " characters",
	reflect.Slice:  " entries",
}

// newValidator returns a validator that names fields by their YAML keys.
func newValidator() *validator.Validate {
	validate := validator.New(validator.WithRequiredStructEnabled())
	validate.RegisterTagNameFunc(func(field reflect.StructField) string {
		return strings.Split(field.Tag.Get("yaml"), ",")[0]
	})
	for tag, function := range functions {
		// The tags are constants and the functions not nil, so this can't fail.
		_ = validate.RegisterValidation(tag, function)
	}
	return validate
}

// functions are the validate tags that the library does not know.
var functions = map[string]validator.Func{
	"ip_port": isIPPort,
	"policy":  isPolicy,
}

func isPolicy(level validator.FieldLevel) bool {
	_, err := upstream.FindPolicy(level.Field().String())
	return err == nil
}

func policyNames() string {
	var names []string
	for _, policy := range upstream.Policies {
		names = append(names, policy.Name)
	}
	return strings.Join(names, " ")
}

func isIPPort(level validator.FieldLevel) bool {
	address, err := netip.ParseAddrPort(level.Field().String())
	return err == nil && address.Port() != 0
}

// validate checks each value by its tag.
func (document document) validate(settings Settings, report *report) {
	var invalid validator.ValidationErrors
	if !errors.As(newValidator().Struct(settings), &invalid) {
		return
	}
	for _, fieldError := range invalid {
		report.add(document.tagFault(fieldError))
	}
}

func (document document) tagFault(fieldError validator.FieldError) Fault {
	_, path, _ := strings.Cut(fieldError.Namespace(), ".")
	row, ok := tagRows[fieldError.Tag()]
	if !ok {
		row = tagRow{"is not valid", "write it as in docs/examples/router.yaml"}
	}
	message := fill(row.message, fieldError.Param())
	remedy := fill(row.remedy, fieldError.Param())
	if unit, ok := lengthUnits[fieldError.Kind()]; ok && (fieldError.Tag() == "min" || fieldError.Tag() == "max") {
		message += unit
		remedy += unit
	}
	return document.faultAt(path, message, remedy)
}

func fill(text, parameter string) string {
	if !strings.Contains(text, "%s") {
		return text
	}
	return fmt.Sprintf(text, parameter)
}
