package caller

import (
	"encoding/json"
	"net/http"
	"slices"
	"strings"

	"lycheepond/core/spec"
	"lycheepond/entry/fault"
	"lycheepond/entry/sched"
)

// modelRequest holds the fields of a model request that the entry reads. The body is
// passed on unchanged.
type modelRequest struct {
	Model     string          `json:"model"`
	Prompt    json.RawMessage `json:"prompt"`
	Messages  json.RawMessage `json:"messages"`
	MaxTokens int             `json:"max_tokens"`
	Stream    bool            `json:"stream"`
}

// handleModel serves /v1/completions and /v1/chat/completions.
func (s *Server) handleModel(w http.ResponseWriter, r *http.Request) {
	j, e := s.accept(r)
	if e == nil {
		e = s.readModel(w, r, j)
	}
	if e != nil {
		s.refuse(w, j.ID, j, e)
		return
	}
	s.serve(w, r, j)
}

// readModel reads a model request and sets the remaining fields of the job.
func (s *Server) readModel(w http.ResponseWriter, r *http.Request, j *sched.Job) *fault.Error {
	data, e := s.readBody(w, r)
	if e != nil {
		return e
	}
	var p modelRequest
	if err := json.Unmarshal(data, &p); err != nil {
		return fault.New(fault.BadRequest, "the body is no JSON object of a completions request ("+err.Error()+"): send model and prompt or messages")
	}
	text := p.Prompt
	if strings.HasSuffix(r.URL.Path, "/chat/completions") {
		text = p.Messages
	}
	if len(text) == 0 {
		return fault.New(fault.BadRequest, "the prompt is missing: send prompt to /v1/completions and messages to /v1/chat/completions")
	}
	if p.MaxTokens < 0 {
		return fault.New(fault.BadRequest, "max_tokens is negative: send a positive number or leave it out")
	}
	if _, ok := s.cfg.Store.Model(p.Model); !ok {
		return fault.New(fault.UnknownModel, "unknown model "+quote(p.Model)+": GET /v1/models lists the models")
	}
	j.Pool, j.Model, j.Path, j.Body, j.Prompt = p.Model, p.Model, r.URL.Path, data, text
	j.MaxTokens, j.Stream, j.Header = p.MaxTokens, p.Stream, forwardedHeaders(r.Header)
	if e := readIdempotency(r, j, true); e != nil {
		return e
	}
	if j.Key != nil {
		j.Digest = digest(j)
	}
	return nil
}

// listModels serves the list of models.
func (s *Server) listModels(w http.ResponseWriter, r *http.Request) {
	j, e := s.accept(r)
	if e != nil {
		s.refuse(w, j.ID, j, e)
		return
	}
	type modelItem struct {
		ID      string `json:"id"`
		Object  string `json:"object"`
		Version string `json:"version,omitempty"`
	}
	list := struct {
		Object string      `json:"object"`
		Data   []modelItem `json:"data"`
	}{Object: "list", Data: []modelItem{}}
	for _, m := range s.cfg.Store.Models() {
		list.Data = append(list.Data, modelItem{ID: m.Name, Object: "model", Version: m.Version})
	}
	slices.SortFunc(list.Data, func(a, b modelItem) int { return strings.Compare(a.ID, b.ID) })
	w.Header().Set(headerID, j.ID.String())
	w.Header().Set("Content-Type", "application/json")
	json.NewEncoder(w).Encode(list)
}

// handleService serves /services/NAME/...
func (s *Server) handleService(w http.ResponseWriter, r *http.Request) {
	j, e := s.accept(r)
	if e == nil {
		e = s.readService(w, r, j)
	}
	if e != nil {
		s.refuse(w, j.ID, j, e)
		return
	}
	s.serve(w, r, j)
}

// idempotentMethods are the HTTP methods that count as idempotent for a service that
// lists none.
var idempotentMethods = []string{http.MethodGet, http.MethodHead, http.MethodOptions}

// readService reads a request to a service and sets the remaining fields of the job.
func (s *Server) readService(w http.ResponseWriter, r *http.Request, j *sched.Job) *fault.Error {
	name := r.PathValue("name")
	svc, ok := s.cfg.Store.Service(name)
	if !ok {
		return fault.New(fault.UnknownService, "unknown service "+quote(name)+": name one that the operator has defined")
	}
	data, e := s.readBody(w, r)
	if e != nil {
		return e
	}
	path := strings.TrimPrefix(r.URL.EscapedPath(), "/services/"+name)
	if path == "" {
		path = "/"
	}
	if r.URL.RawQuery != "" {
		path += "?" + r.URL.RawQuery
	}
	j.Pool, j.Path, j.Body, j.Header = name, path, data, forwardedHeaders(r.Header)
	if e := readIdempotency(r, j, isIdempotent(svc, r.Method)); e != nil {
		return e
	}
	if j.Key != nil {
		j.Digest = digest(j)
	}
	return nil
}

func isIdempotent(svc spec.Service, method string) bool {
	if len(svc.Idempotent) == 0 {
		return slices.Contains(idempotentMethods, method)
	}
	return slices.Contains(svc.Idempotent, method)
}

// customerLimits returns the limits of a customer.
func (s *Server) customerLimits(name string) spec.Limits {
	c, _ := s.cfg.Store.Customer(name)
	return c.Limits
}
