package bearer

import (
	"net/http/httptest"
	"testing"
)

// Only a request with the right token is allowed, and any request if no token is set.
func TestAllows(t *testing.T) {
	for _, tc := range []struct {
		name, token, sent string
		want              bool
	}{
		{"right", "secret", "Bearer secret", true},
		{"wrong", "secret", "Bearer secre", false},
		{"missing", "secret", "", false},
		{"no token set", "", "", true},
	} {
		t.Run(tc.name, func(t *testing.T) {
			r := httptest.NewRequest("GET", "/status", nil)
			r.Header.Set("Authorization", tc.sent)
			if got := New(tc.token).Allows(r); got != tc.want {
				t.Errorf("Allows = %t", got)
			}
		})
	}
}
