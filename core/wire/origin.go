package wire

// StreamOrigins tells a keeper where streams began.
type StreamOrigins struct {
	_msgpack struct{} `msgpack:",as_array"`
	Streams  []StreamOrigin
}

// StreamOrigin is the pool and the version of its endpoints' software that began one stream.
type StreamOrigin struct {
	_msgpack struct{} `msgpack:",as_array"`
	// Key is an origin.Key.
	Key           uint64
	Pool, Version string
}

// OriginQuery asks where a stream began.
type OriginQuery struct {
	_msgpack struct{} `msgpack:",as_array"`
	// ID is the sender's number of the query.
	ID uint64
	// Key is an origin.Key, Pool the pool in which the stream is to go on.
	Key  uint64
	Pool string
}

// OriginReply answers an OriginQuery. Known is false if the sender does not know.
type OriginReply struct {
	_msgpack struct{} `msgpack:",as_array"`
	ID       uint64
	Known    bool
	// Pool and Version are those that began the stream.
	Pool, Version string
}

// Kind returns KindStreamOrigins.
func (*StreamOrigins) Kind() Kind { return KindStreamOrigins }

// Kind returns KindOriginQuery.
func (*OriginQuery) Kind() Kind { return KindOriginQuery }

// Kind returns KindOriginReply.
func (*OriginReply) Kind() Kind { return KindOriginReply }
