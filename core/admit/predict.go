package admit

import (
	"time"

	"lycheepond/core/speed"
)

// PredictFirstEvent predicts the time to the first event of r.
func (e *Endpoint) PredictFirstEvent(r Request) time.Duration {
	return e.stretch(e.usualFirstEvent(r))
}

// usualFirstEvent is PredictFirstEvent without the momentary slowdown.
func (e *Endpoint) usualFirstEvent(r Request) time.Duration {
	return e.Pace.FirstEvent + e.slotWait(r) + time.Duration(e.PromptTokens+r.PromptTokens)*e.Pace.PerPromptToken
}

// stretch returns how long work of the usual duration d takes at the endpoint.
func (e *Endpoint) stretch(d time.Duration) time.Duration {
	if e.Slowdown <= 1 {
		return d
	}
	return speed.Stretch(d, e.Slowdown)
}

// HoldTime predicts how long a request with the given token counts holds its slot.
func (p Pace) HoldTime(promptTokens, outputTokens int) time.Duration {
	return p.FirstEvent + time.Duration(promptTokens)*p.PerPromptToken + time.Duration(outputTokens)*p.PerOutputToken
}

// slotWait predicts how long r waits for a slot. It assumes that the requests end one after
// the other at even intervals as their remaining work is done.
func (e *Endpoint) slotWait(r Request) time.Duration {
	slots := max(e.Slots, 1)
	requestsAhead := e.Requests - slots + 1
	if requestsAhead <= 0 {
		return e.memoryWait(r)
	}
	return time.Duration(float64(requestsAhead) * float64(e.meanHoldTime()) / float64(slots) * e.Pace.waitFactor())
}

// meanHoldTime predicts how much longer a running request holds its slot on average.
func (e *Endpoint) meanHoldTime() time.Duration {
	return e.Pace.FirstEvent + time.Duration(e.OutputTokens/e.Requests)*e.Pace.PerOutputToken
}

func (p Pace) waitFactor() float64 {
	if p.WaitFactor <= 0 {
		return 1
	}
	return p.WaitFactor
}

// memoryWait predicts how long r waits for memory while there are free slots. An engine
// that runs out of memory discards prompts that it has already processed.
func (e *Endpoint) memoryWait(r Request) time.Duration {
	if e.KVTokens == 0 || e.Requests == 0 || e.KVTokensNeeded+r.PromptTokens+r.OutputTokens <= e.KVTokens {
		return 0
	}
	return time.Duration(e.OutputTokens/e.Requests) * e.Pace.PerOutputToken
}

// extraCost returns the cost of an endpoint besides its time to the first event.
// output is the predicted output time.
func (e *Endpoint) extraCost(output time.Duration) time.Duration {
	cost := scale(output, outputWeight)
	if !e.SameZone {
		cost += crossZoneCost
	}
	if !e.mostlyFree() {
		cost += scale(maxBiasCost, e.Bias)
	}
	return cost
}

// leastDelay returns by how much a momentary slowdown delays the first event of r at the usable
// endpoint where that is least.
func leastDelay(r Request, endpoints []Endpoint) time.Duration {
	least, found := time.Duration(0), false
	for i := range endpoints {
		e := &endpoints[i]
		if !e.Usable {
			continue
		}
		if e.Slowdown <= 1 {
			return 0
		}
		first := e.usualFirstEvent(r)
		if delay := e.stretch(first) - first; !found || delay < least {
			least, found = delay, true
		}
	}
	return least
}
