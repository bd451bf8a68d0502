package caller

import (
	"crypto/sha256"
	"encoding/binary"
	"encoding/hex"
	"errors"
	"io"
	"net/http"
	"slices"
	"strings"
	"time"

	"lycheepond/core/logs"
	"lycheepond/core/spec"
	"lycheepond/core/wire"
	"lycheepond/entry/fault"
	"lycheepond/entry/hdrs"
	"lycheepond/entry/sched"
)

const (
	// maxDeadline bounds the deadline that a caller may request.
	maxDeadline = time.Hour
	// maxKeyBytes is the longest idempotency key in bytes.
	maxKeyBytes = 255
	// maxParts is the largest number of parts of a prompt, and maxPartBytes the longest ID of
	// one in bytes.
	maxParts     = 64
	maxPartBytes = 64
)

// accept checks what all requests have in common and returns the job with the
// fields known so far. The job is non-nil even if there is an error.
func (s *Server) accept(r *http.Request) (*sched.Job, *fault.Error) {
	j := &sched.Job{ID: s.cfg.NewID(), AcceptedAt: s.cfg.Now(), Method: r.Method}
	if e := s.checkLeaving(); e != nil {
		return j, e
	}
	if !s.cfg.Ready() {
		return j, fault.New(fault.Leaving, "this entry has no configuration yet: ask again").WithRetryAfter(time.Second)
	}
	customer, key, ok := s.cfg.Store.CustomerByKey(bearer(r))
	if !ok {
		return j, fault.New(fault.BadKey, "missing or unknown key: send a valid key as Authorization: Bearer KEY")
	}
	j.Customer = customer.Name
	if e := s.readClass(r, j, customer, key); e != nil {
		return j, e
	}
	if e := readDeadline(r, j); e != nil {
		return j, e
	}
	return j, readPromptParts(r, j)
}

// checkLeaving refuses a request if a planned stop has begun.
func (s *Server) checkLeaving() *fault.Error {
	if !s.cfg.Leaving() {
		return nil
	}
	return fault.New(fault.Leaving, "this entry is stopping: ask again, the balancer will choose another").WithRetryAfter(time.Second)
}

// bearer returns the key in the Authorization header, empty if there is none.
func bearer(r *http.Request) string {
	const prefix = "Bearer "
	h := r.Header.Get("Authorization")
	if len(h) < len(prefix) || !strings.EqualFold(h[:len(prefix)], prefix) {
		return ""
	}
	return h[len(prefix):]
}

// readClass sets the class of the job: the one that the caller names, or else the
// one of its key.
func (s *Server) readClass(r *http.Request, j *sched.Job, c spec.Customer, k spec.Key) *fault.Error {
	name := r.Header.Get(headerClass)
	if name == "" {
		name = k.Class
	}
	class, ok := s.cfg.Store.Class(name)
	if !ok {
		return fault.New(fault.UnknownClass, "unknown class "+quote(name)+": name a class in "+headerClass+" that the operator has defined")
	}
	if len(c.Classes) > 0 && !slices.Contains(c.Classes, name) {
		return fault.New(fault.ClassNotAllowed, "this customer may not use class "+quote(name)+": use one of "+strings.Join(c.Classes, ", "))
	}
	j.Class = class
	return nil
}

// readDeadline sets the deadline of the job: the one that the caller requests, or
// else the one of its class.
func readDeadline(r *http.Request, j *sched.Job) *fault.Error {
	j.Deadline = j.Class.Deadline.Std()
	if j.Deadline <= 0 {
		j.Deadline = spec.DefaultDeadline
	}
	h := r.Header.Get(headerDeadline)
	if h == "" {
		return nil
	}
	d, err := time.ParseDuration(h)
	if err != nil || d <= 0 || d > maxDeadline {
		return fault.New(fault.BadRequest, "bad "+headerDeadline+" "+quote(h)+": write a time of at most 1h with its unit, such as 30s")
	}
	j.Deadline = d
	return nil
}

// readPromptParts sets the IDs of the parts of the prompt that other requests may share.
func readPromptParts(r *http.Request, j *sched.Job) *fault.Error {
	values := r.Header.Values(headerPromptParts)
	if len(values) == 0 {
		return nil
	}
	for id := range strings.SplitSeq(strings.Join(values, ","), ",") {
		if id = strings.TrimSpace(id); id == "" || len(id) > maxPartBytes || len(j.Parts) == maxParts {
			return fault.New(fault.BadRequest, "bad "+headerPromptParts+": list the IDs of the parts that other requests share, at most 64 of 1 to 64 bytes, separated by commas")
		}
		if !slices.Contains(j.Parts, id) {
			j.Parts = append(j.Parts, id)
		}
	}
	return nil
}

// readIdempotency reads the headers that forbid or allow a second run, and the
// idempotency key. safe is set if a request of this kind may be cancelled and
// repeated.
func readIdempotency(r *http.Request, j *sched.Job, safe bool) *fault.Error {
	nonIdempotent, e := readFlag(r, headerNonIdempotent)
	if e != nil {
		return e
	}
	repeatable, e := readFlag(r, headerRepeatable)
	if e != nil {
		return e
	}
	if nonIdempotent && repeatable {
		return fault.New(fault.BadRequest, "both "+headerNonIdempotent+" and "+headerRepeatable+" are set: send one of them")
	}
	j.Cancellable, j.Repeatable = safe && !nonIdempotent, safe && repeatable
	keys := r.Header.Values(headerKey)
	if len(keys) == 0 {
		return nil
	}
	key := keys[0]
	if len(keys) > 1 || key == "" || len(key) > maxKeyBytes {
		return fault.New(fault.BadRequest, "bad "+headerKey+": send one key of 1 to 255 bytes, such as a UUIDv7")
	}
	sum := sha256.Sum256([]byte(j.Customer + "\x00" + key))
	j.Key, j.KeyCreatedMS, j.Cancellable, j.Repeatable = sum[:], keyCreatedMS(key), false, false
	return nil
}

// readFlag reads a header that is true, false or absent.
func readFlag(r *http.Request, name string) (bool, *fault.Error) {
	switch h := strings.ToLower(r.Header.Get(name)); h {
	case "", "false", "0":
		return false, nil
	case "true", "1":
		return true, nil
	default:
		return false, fault.New(fault.BadRequest, "bad "+name+" "+quote(h)+": write true or leave it out")
	}
}

// keyCreatedMS returns the creation time of a UUIDv7 in Unix milliseconds, and zero
// for any other key.
func keyCreatedMS(key string) int64 {
	if len(key) != 36 || key[8] != '-' || key[13] != '-' || key[14] != '7' {
		return 0
	}
	var b [8]byte
	if _, err := hex.Decode(b[2:], []byte(key[:8]+key[9:13])); err != nil {
		return 0
	}
	return int64(binary.BigEndian.Uint64(b[:]))
}

// digest returns a hash that distinguishes two requests with the same key.
func digest(j *sched.Job) uint64 {
	h := sha256.New()
	io.WriteString(h, j.Method+" "+j.Pool+" "+j.Path+"\x00")
	h.Write(j.Body)
	return binary.BigEndian.Uint64(h.Sum(nil))
}

// bodyReader reads a body and sets a new read deadline of callerTimeout for each
// maxPieceBytes. One deadline for the whole body would cut off a slow caller that is
// still sending, and without a deadline a caller that has stopped would block its
// request's goroutine for good.
type bodyReader struct {
	body io.Reader
	rc   *http.ResponseController
	// remainingBytes is the number of bytes until the next deadline is set.
	remainingBytes int
}

// Read implements io.Reader.
func (p *bodyReader) Read(b []byte) (int, error) {
	if p.remainingBytes <= 0 {
		p.remainingBytes = maxPieceBytes
		p.rc.SetReadDeadline(time.Now().Add(callerTimeout))
	}
	n, err := p.body.Read(b)
	p.remainingBytes -= n
	return n, err
}

// readBody reads the whole body of a request, at most maxBodyBytes. It refuses the request if a
// planned stop has begun in the meantime.
func (s *Server) readBody(w http.ResponseWriter, r *http.Request) ([]byte, *fault.Error) {
	rc := http.NewResponseController(w)
	defer rc.SetReadDeadline(time.Time{})
	data, err := io.ReadAll(&bodyReader{body: http.MaxBytesReader(logs.OriginalWriter(w), r.Body, maxBodyBytes), rc: rc})
	var tooLarge *http.MaxBytesError
	switch {
	case errors.As(err, &tooLarge):
		return nil, fault.New(fault.TooLarge, "the body is larger than 4 MiB: send less")
	case err != nil:
		return nil, fault.New(fault.BadRequest, "the body could not be read to its end: send it whole")
	}
	return data, s.checkLeaving()
}

// droppedHeaders are the headers that concern only this system. Like hop-by-hop
// headers they are not forwarded.
var droppedHeaders = map[string]bool{
	"Authorization": true, "Proxy-Authorization": true, "Host": true, "X-Request-Id": true, "Expect": true, "Accept-Encoding": true,
	headerClass: true, headerNonIdempotent: true, headerRepeatable: true, headerDeadline: true, headerPromptParts: true, headerID: true, headerOutcome: true,
}

// forwardedHeaders returns the headers of a request to send to the endpoint.
func forwardedHeaders(h http.Header) []wire.Field {
	out := make([]wire.Field, 0, len(h))
	for name, values := range hdrs.EndToEnd(h) {
		if droppedHeaders[name] {
			continue
		}
		for _, v := range values {
			out = append(out, wire.Field{Name: name, Value: v})
		}
	}
	return out
}

// quote returns text from a caller in quotes, shortened to 64 bytes, for use in a
// message.
func quote(s string) string {
	const limit = 64
	if len(s) > limit {
		s = s[:limit] + "..."
	}
	return "\"" + strings.ToValidUTF8(s, "?") + "\""
}
