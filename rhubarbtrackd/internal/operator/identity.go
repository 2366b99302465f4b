package operator

import (
	"context"
	"net/http"

	"github.com/cockroachdb/errors"
)

// Role says which calls an identity may make. Each role includes the ones before it.
type Role int

// Roles.
const (
	RoleView      Role = iota + 1 // reads
	RoleOperate                   // drains, takes out, brings back
	RoleConfigure                 // creates, replaces and deletes objects
)

// Identity is an authenticated caller.
type Identity struct {
	Name string // writer of the caller's changes, unique per operator
	Role Role
}

type identityKey struct{}

type authentication struct {
	identity Identity
	err      error
}

// withIdentity runs Identify before the call. A failure is kept for the call, which records refused changes.
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

// authorize returns the caller if it has the role.
func authorize(ctx context.Context, role Role) (Identity, *Error) {
	caller, ok := ctx.Value(identityKey{}).(authentication)
	if !ok {
		return Identity{}, &Error{Kind: Unauthenticated, Err: errors.New("the caller was not identified")}
	}
	if caller.err != nil {
		return Identity{}, &Error{Kind: Unauthenticated, Err: caller.err}
	}
	if caller.identity.Role < role {
		return caller.identity, &Error{Kind: Denied, Err: errors.Newf("%s lacks the role for this call", caller.identity.Name)}
	}
	return caller.identity, nil
}
