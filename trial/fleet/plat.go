package fleet

import (
	"bytes"
	"context"
	"encoding/json"
	"fmt"
	"io"
	"net/http"

	"lycheepond/core/plat"
	"lycheepond/trial/engin"
	"lycheepond/trial/platf"
)

// Platform talks to the platform's stand-in.
type Platform struct{ addr, token string }

// Addr returns the platform's address.
func (p *Platform) Addr() string { return p.addr }

// PutInstance adds or changes a line of the instance list.
func (p *Platform) PutInstance(ctx context.Context, in plat.Instance) error {
	return Do(ctx, http.MethodPut, "http://"+p.addr+"/admin/instances/"+in.Name, p.token, in, nil)
}

// PutObject writes an object whatever its version is.
func (p *Platform) PutObject(ctx context.Context, kind, name string, data any) error {
	return Do(ctx, http.MethodPut, "http://"+p.addr+"/v1/objects/"+kind+"/"+name, p.token, data, nil)
}

// PutVersion is PutObject and returns the version written.
func (p *Platform) PutVersion(ctx context.Context, kind, name string, data any) (int64, error) {
	var o plat.Object
	err := Do(ctx, http.MethodPut, "http://"+p.addr+"/v1/objects/"+kind+"/"+name, p.token, data, &o)
	return o.Version, err
}

// Fault changes how the platform misbehaves.
func (p *Platform) Fault(ctx context.Context, f platf.Fault) error {
	return Do(ctx, http.MethodPost, "http://"+p.addr+"/admin/fault", p.token, f, nil)
}

// Stats returns the counts of calls.
func (p *Platform) Stats(ctx context.Context) (s platf.Stats, err error) {
	err = Do(ctx, http.MethodGet, "http://"+p.addr+"/admin/stats", p.token, nil, &s)
	return s, err
}

// Fault changes how the endpoint misbehaves: an engin.Fault or a plain.Fault.
func (u *Unit) Fault(ctx context.Context, fault any) error {
	return Do(ctx, http.MethodPost, "http://"+u.Addr+"/admin/fault", "", fault, nil)
}

// Records returns what the endpoint executed. Records of plain services have
// the fields that they share with those of engines.
func (u *Unit) Records(ctx context.Context) ([]engin.Record, error) {
	req, err := http.NewRequestWithContext(ctx, http.MethodGet, "http://"+u.Addr+"/record", nil)
	if err != nil {
		return nil, err
	}
	resp, err := http.DefaultClient.Do(req)
	if err != nil {
		return nil, err
	}
	defer resp.Body.Close()
	var out []engin.Record
	for dec := json.NewDecoder(resp.Body); dec.More(); {
		var r engin.Record
		if err := dec.Decode(&r); err != nil {
			return nil, err
		}
		out = append(out, r)
	}
	return out, nil
}

const maxAnswer = 64 << 20

// Do makes one JSON call. Any status but 2xx is an error.
func Do(ctx context.Context, method, url, token string, in, out any) error {
	var body bytes.Buffer
	if in != nil {
		if err := json.NewEncoder(&body).Encode(in); err != nil {
			return err
		}
	}
	req, err := http.NewRequestWithContext(ctx, method, url, &body)
	if err != nil {
		return err
	}
	if token != "" {
		req.Header.Set("Authorization", "Bearer "+token)
	}
	resp, err := http.DefaultClient.Do(req)
	if err != nil {
		return err
	}
	defer resp.Body.Close()
	data, err := io.ReadAll(io.LimitReader(resp.Body, maxAnswer))
	if err != nil {
		return err
	}
	if resp.StatusCode/100 != 2 {
		return fmt.Errorf("fleet: %s %s: %s: %s", method, url, resp.Status, bytes.TrimSpace(data))
	}
	if out == nil {
		return nil
	}
	return json.Unmarshal(data, out)
}
