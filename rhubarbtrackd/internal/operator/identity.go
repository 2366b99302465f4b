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

type identification struct {
	identity Identity
	err      error
}

// identified runs Identify before the call. A failure is kept for the call, which records refused changes.
func (s *Server) identified(next http.Handler) http.Handler {
	return http.HandlerFunc(func(writer http.ResponseWriter, request *http.Request) {
		identity, err := s.Identify(request)
		if err == nil && identity.Name == "" {
			err = errors.New("the caller has no name")
		}
		ctx := context.WithValue(request.Context(), identityKey{}, identification{identity: identity, err: err})
		next.ServeHTTP(writer, request.WithContext(ctx))
	})
}

// authorize returns the caller if it has the role.
func authorize(ctx context.Context, role Role) (Identity, *Error) {
	found, ok := ctx.Value(identityKey{}).(identification)
	if !ok {
		return Identity{}, &Error{Kind: Unauthenticated, Err: errors.New("the caller was not identified")}
	}
	if found.err != nil {
		return Identity{}, &Error{Kind: Unauthenticated, Err: found.err}
	}
	if found.identity.Role < role {
		return found.identity, &Error{Kind: Denied, Err: errors.Newf("%s lacks the role for this call", found.identity.Name)}
	}
	return found.identity, nil
}
