package authenticator

import (
	"errors"
	"fmt"
)

// Role is what an operator may do; a higher role includes the lower ones.
type Role string

// The roles of operators, the lowest first.
const (
	// RoleViewer reads configuration and state.
	RoleViewer Role = "viewer"
	// RoleEditor changes configuration.
	RoleEditor Role = "editor"
	// RoleAdministrator also changes keys and drains instances.
	RoleAdministrator Role = "administrator"
)

// ErrForbidden is returned for an operator whose role does not include the required one.
var ErrForbidden = errors.New("authenticator: role does not suffice")

func (r Role) level() int {
	switch r {
	case RoleViewer:
		return 1
	case RoleEditor:
		return 2
	case RoleAdministrator:
		return 3
	}
	return 0
}

// Operator is a person or program that administers the deployment.
type Operator struct {
	Name string `yaml:"name" json:"name" validate:"required"`
	// SHA256 is the lower-case hexadecimal SHA-256 of the operator's key.
	SHA256 string `yaml:"sha256" json:"sha256" validate:"len=64,hexadecimal"`
	Role   Role   `yaml:"role" json:"role" validate:"oneof=viewer editor administrator"`
}

// Operators authorizes operators by key; it is immutable and safe for concurrent use.
type Operators struct {
	keys keyIndex[Operator]
}

// NewOperators returns an index of the operators by key, or an error if one has an unknown role.
func NewOperators(list []Operator) (*Operators, error) {
	o := &Operators{keys: keyIndex[Operator]{}}
	for _, op := range list {
		if op.Role.level() == 0 {
			return nil, fmt.Errorf("authenticator: operator %s: unknown role %q", op.Name, op.Role)
		}
		o.keys.add(op.SHA256, op)
	}
	return o, nil
}

// Authorize returns the operator of a key if its role includes need, otherwise ErrUnknownKey or ErrForbidden.
func (o *Operators) Authorize(key string, need Role) (Operator, error) {
	op, ok := o.keys.find(key)
	switch {
	case !ok || key == "":
		return Operator{}, ErrUnknownKey
	case need.level() == 0 || op.Role.level() < need.level():
		return Operator{}, fmt.Errorf("%w: %s is %s, needs %s", ErrForbidden, op.Name, op.Role, need)
	}
	return op, nil
}
