package admin

import (
	"context"
	"net/http"
	"net/http/httptest"
	"testing"
)

// Without the token check, anyone who reaches the operators' port could take an
// endpoint out of service.
func TestDrainRequiresToken(t *testing.T) {
	drains := 0
	s := New(Config{
		Token: "op", Metrics: http.NotFoundHandler(), Status: func() any { return nil }, Ready: func() bool { return true },
		Drain: func(context.Context) error { drains++; return nil },
	})
	for _, c := range []struct {
		method, token  string
		status, drains int
	}{
		{http.MethodPost, "", http.StatusUnauthorized, 0},
		{http.MethodPost, "guess", http.StatusUnauthorized, 0},
		{http.MethodGet, "op", http.StatusMethodNotAllowed, 0},
		{http.MethodPost, "op", http.StatusAccepted, 1},
	} {
		r := httptest.NewRequest(c.method, "/drain", nil)
		r.Header.Set("Authorization", "Bearer "+c.token)
		w := httptest.NewRecorder()
		s.Handler().ServeHTTP(w, r)
		if w.Code != c.status || drains != c.drains {
			t.Errorf("%s with token %q: status %d, %d drains", c.method, c.token, w.Code, drains)
		}
	}
}
