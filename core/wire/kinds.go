package wire

// Kind returns KindHello.
func (*Hello) Kind() Kind { return KindHello }

// Kind returns KindProof.
func (*Proof) Kind() Kind { return KindProof }

// Kind returns KindHeartbeat.
func (*Heartbeat) Kind() Kind { return KindHeartbeat }

// Kind returns KindOffer.
func (*Offer) Kind() Kind { return KindOffer }

// Kind returns KindWithdraw.
func (*Withdraw) Kind() Kind { return KindWithdraw }

// Kind returns KindClaim.
func (*Claim) Kind() Kind { return KindClaim }

// Kind returns KindGrant.
func (*Grant) Kind() Kind { return KindGrant }

// Kind returns KindDeny.
func (*Deny) Kind() Kind { return KindDeny }

// Kind returns KindReturn.
func (*Return) Kind() Kind { return KindReturn }

// Kind returns KindKeyStatus.
func (*KeyStatus) Kind() Kind { return KindKeyStatus }

// Kind returns KindHead.
func (*Head) Kind() Kind { return KindHead }

// Kind returns KindChunk.
func (*Chunk) Kind() Kind { return KindChunk }

// Kind returns KindEnd.
func (*End) Kind() Kind { return KindEnd }

// Kind returns KindCancel.
func (*Cancel) Kind() Kind { return KindCancel }

// Kind returns KindAttach.
func (*Attach) Kind() Kind { return KindAttach }

// Kind returns KindShedLevel.
func (*ShedLevel) Kind() Kind { return KindShedLevel }

// Kind returns KindObjectUpdate.
func (*ObjectUpdate) Kind() Kind { return KindObjectUpdate }

// Kind returns KindLeaseRequest.
func (*LeaseRequest) Kind() Kind { return KindLeaseRequest }

// Kind returns KindLeaseReply.
func (*LeaseReply) Kind() Kind { return KindLeaseReply }

// Kind returns KindFetch.
func (*Fetch) Kind() Kind { return KindFetch }

// Kind returns KindFetchDone.
func (*FetchDone) Kind() Kind { return KindFetchDone }

// Kind returns KindHandover.
func (*Handover) Kind() Kind { return KindHandover }

// Kind returns KindHandoverAck.
func (*HandoverAck) Kind() Kind { return KindHandoverAck }

// Kind returns KindTally.
func (*Tally) Kind() Kind { return KindTally }

// Kind returns KindSnapshot.
func (*Snapshot) Kind() Kind { return KindSnapshot }

// Kind returns KindRelay.
func (*Relay) Kind() Kind { return KindRelay }
