package operator

import (
	"context"
	"net/http"

	"github.com/cockroachdb/errors"
)

// Role says which calls an identity may make. Each role includes the permissions of the roles before it.
type Role int

// Roles of callers.
const (
	RoleView      Role = iota + 1 // read calls
	RoleOperate                   // drain upstreams; take out and bring back failure domains
	RoleConfigure                 // create, replace and delete objects
)

// Identity is an authenticated caller.
type Identity struct {
	Name string // unique per operator; recorded as the writer of the caller's changes
	Role Role
}

type identityKey struct{}

type authentication struct {
	identity Identity
	err      error
}

// withIdentity authenticates the caller before the call. It passes a failure on to the call instead of rejecting the
// request itself, because the call adds rejected changes to the audit trail.
func (s *Server) withIdentity(next http.Handler) http.Handler {
	return http.HandlerFunc(func(writer http.ResponseWriter, request *http.Request) {
		identity, err := s.Identify(request)
		if err == nil && identity.Name == "" {
			err = errors.New("the caller has no name")
		}
		ctx := context.WithValue(request.Context(), identityKey{}, authentication{identity: identity, err: err})
		next.ServeHTTP(writer, request.WithContext(ctx))
	})
}

// authorize returns the caller. If the caller lacks the role, authorize also returns an error of kind Denied.
func authorize(ctx context.Context, role Role) (Identity, *Error) {
	caller, ok := ctx.Value(identityKey{}).(authentication)
	if !ok {
		return Identity{}, &Error{Kind: Unauthenticated, Err: errors.New("the caller was not identified")}
	}
	if caller.err != nil {
		return Identity{}, &Error{Kind: Unauthenticated, Err: caller.err}
	}
	if caller.identity.Role < role {
		return caller.identity, &Error{Kind: Denied, Err: errors.Newf(
			"%s lacks the role for this call", caller.identity.Name)}
	}
	return caller.identity, nil
}
