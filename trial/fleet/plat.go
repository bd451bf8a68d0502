package fleet

import (
	"bytes"
	"context"
	"encoding/json"
	"fmt"
	"io"
	"net/http"

	"lycheepond/core/plat"
	"lycheepond/trial/simapi"
	"lycheepond/trial/simeng"
)

// PlatformClient is a client of the simulated platform.
type PlatformClient struct{ addr, token string }

// Addr returns the platform's address.
func (p *PlatformClient) Addr() string { return p.addr }

// PutInstance adds an instance to the instance list or replaces it there.
func (p *PlatformClient) PutInstance(ctx context.Context, in plat.Instance) error {
	return CallJSON(ctx, http.MethodPut, "http://"+p.addr+"/admin/instances/"+in.Name, p.token, in, nil)
}

// PutObject writes an object regardless of its current version.
func (p *PlatformClient) PutObject(ctx context.Context, kind, name string, data any) error {
	return CallJSON(ctx, http.MethodPut, "http://"+p.addr+"/v1/objects/"+kind+"/"+name, p.token, data, nil)
}

// PutVersion writes an object like PutObject and returns its new version.
func (p *PlatformClient) PutVersion(ctx context.Context, kind, name string, data any) (int64, error) {
	var o plat.Object
	err := CallJSON(ctx, http.MethodPut, "http://"+p.addr+"/v1/objects/"+kind+"/"+name, p.token, data, &o)
	return o.Version, err
}

// SetFault replaces the faults that are injected into the platform.
func (p *PlatformClient) SetFault(ctx context.Context, f simapi.Fault) error {
	return CallJSON(ctx, http.MethodPost, "http://"+p.addr+"/admin/fault", p.token, f, nil)
}

// Stats returns the platform's call counts.
func (p *PlatformClient) Stats(ctx context.Context) (s simapi.Stats, err error) {
	err = CallJSON(ctx, http.MethodGet, "http://"+p.addr+"/admin/stats", p.token, nil, &s)
	return s, err
}

// SetFault replaces the faults that are injected into the endpoint. fault is a
// simeng.Fault or a plain.Fault, according to the kind of endpoint.
func (u *Unit) SetFault(ctx context.Context, fault any) error {
	return CallJSON(ctx, http.MethodPost, "http://"+u.Addr+"/admin/fault", "", fault, nil)
}

// Records returns the executions that the endpoint recorded. For plain services,
// only the fields that plain.Record has are set.
func (u *Unit) Records(ctx context.Context) ([]simeng.Record, error) {
	req, err := http.NewRequestWithContext(ctx, http.MethodGet, "http://"+u.Addr+"/record", nil)
	if err != nil {
		return nil, err
	}
	resp, err := http.DefaultClient.Do(req)
	if err != nil {
		return nil, err
	}
	defer resp.Body.Close()
	var records []simeng.Record
	for dec := json.NewDecoder(resp.Body); dec.More(); {
		var r simeng.Record
		if err := dec.Decode(&r); err != nil {
			return nil, err
		}
		records = append(records, r)
	}
	return records, nil
}

// maxAnswerBytes is the size limit of an answer in bytes.
const maxAnswerBytes = 64 << 20

// CallJSON makes an HTTP call with in as its JSON body, if not nil, and decodes the
// JSON answer into out, if not nil. An empty token sends no Authorization header.
// A status other than 2xx is an error.
func CallJSON(ctx context.Context, method, url, token string, in, out any) error {
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
	data, err := io.ReadAll(io.LimitReader(resp.Body, maxAnswerBytes))
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
