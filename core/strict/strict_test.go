package strict

import (
	"net/http"
	"net/http/httptest"
	"testing"
)

// Guards against rejecting answers of HTTP/2 where both sides speak it.
func TestNegotiatedHTTP2IsAllowed(t *testing.T) {
	server := httptest.NewUnstartedServer(http.HandlerFunc(func(http.ResponseWriter, *http.Request) {}))
	server.EnableHTTP2 = true
	server.StartTLS()
	defer server.Close()
	client := server.Client()
	client.Transport = New(client.Transport.(*http.Transport))
	resp, err := client.Get(server.URL)
	if err != nil {
		t.Fatal(err)
	}
	resp.Body.Close()
	if resp.ProtoMajor != 2 {
		t.Errorf("answer of %s, want HTTP/2", resp.Proto)
	}
}
