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

// tagText is the text of the fault for a value that fails a validate tag. %s is
// replaced by the parameter of the tag.
type tagText struct {
	message string
	remedy  string
}

// tagTexts has an entry for each validate tag that Settings uses.
var tagTexts = map[string]tagText{
	"required":    {"is missing", "add it"},
	"ip_port":     {"is no IP number and port", "write it as 10.0.0.1:8080"},
	"min":         {"is less than %s", "write %s or more"},
	"max":         {"is more than %s", "write %s or less"},
	"len":         {"is not %s characters long", "write the hexadecimal SHA-256 of the token"},
	"hexadecimal": {"is not hexadecimal", "write the hexadecimal SHA-256 of the token"},
	"policy":      {"is not a known policy", "write one of: " + policyNames()},
	"oneof":       {"is not one of the allowed values", "write one of: %s"},
}

// lengthUnits are the units of the tags min and max for kinds of values whose
// length they check.
var lengthUnits = map[reflect.Kind]string{
	reflect.String: " characters",
	reflect.Slice:  " entries",
}

// newValidator returns a validator that reports fields by their YAML keys.
func newValidator() *validator.Validate {
	validate := validator.New(validator.WithRequiredStructEnabled())
	validate.RegisterTagNameFunc(func(field reflect.StructField) string {
		return strings.Split(field.Tag.Get("yaml"), ",")[0]
	})
	for tag, function := range customTags {
		// Fails only for an empty tag or a nil function.
		_ = validate.RegisterValidation(tag, function)
	}
	return validate
}

// customTags are the validate tags that the library doesn't have.
var customTags = map[string]validator.Func{
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

// validateValues checks each value by its validate tag.
func (settingsFile settingsFile) validateValues(settings Settings, report *report) {
	var validationErrors validator.ValidationErrors
	if !errors.As(newValidator().Struct(settings), &validationErrors) {
		return
	}
	for _, fieldError := range validationErrors {
		report.add(settingsFile.tagFault(fieldError))
	}
}

func (settingsFile settingsFile) tagFault(fieldError validator.FieldError) Fault {
	_, path, _ := strings.Cut(fieldError.Namespace(), ".")
	text, ok := tagTexts[fieldError.Tag()]
	if !ok {
		text = tagText{"is not valid", "write it as in docs/examples/router.yaml"}
	}
	message := formatParameter(text.message, fieldError.Param())
	remedy := formatParameter(text.remedy, fieldError.Param())
	if unit, ok := lengthUnits[fieldError.Kind()]; ok && (fieldError.Tag() == "min" || fieldError.Tag() == "max") {
		message += unit
		remedy += unit
	}
	return settingsFile.faultAt(path, message, remedy)
}

func formatParameter(text, parameter string) string {
	if !strings.Contains(text, "%s") {
		return text
	}
	return fmt.Sprintf(text, parameter)
}
