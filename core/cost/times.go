package cost

import "time"

// Assumed costs in seconds before any request was observed, those of an engine
// of medium speed.
const (
	initialPerRequest     = 0.02
	initialPerPromptToken = 0.0002
	initialPerOutputToken = 0.025
)

const (
	// learningRate is the fraction of an error that one answer corrects.
	learningRate = 1.0 / 16
	// maxErrorFactor bounds the factor by which the actual time of one answer
	// may differ from the prediction.
	maxErrorFactor = 2
)

// timeModel predicts time from tokens by a normalised least mean squares
// filter. Each answer corrects the three coefficients by a fraction of the
// error, in proportion to how much they contributed to the prediction.
type timeModel struct {
	// The coefficients are in seconds and are never negative.
	perRequest, perPromptToken, perOutputToken float64
}

func newTimeModel() timeModel {
	return timeModel{perRequest: initialPerRequest, perPromptToken: initialPerPromptToken, perOutputToken: initialPerOutputToken}
}

func (t *timeModel) seconds(prompt, out float64) float64 {
	return t.perRequest + t.perPromptToken*prompt + t.perOutputToken*out
}

func (t *timeModel) estimate(prompt, out float64) time.Duration {
	return time.Duration(t.seconds(prompt, out) * float64(time.Second))
}

func (t *timeModel) learn(prompt, out, actual float64) {
	if actual <= 0 {
		return
	}
	predicted := t.seconds(prompt, out)
	actual = min(max(actual, predicted/maxErrorFactor), predicted*maxErrorFactor)
	// The coefficients have very different sizes, so the filter adjusts them by
	// factors.
	e, p, o := t.perRequest, t.perPromptToken*prompt, t.perOutputToken*out
	step := learningRate * (actual - predicted) / (e*e + p*p + o*o)
	t.perRequest = scaled(t.perRequest, 1+step*e)
	t.perPromptToken = scaled(t.perPromptToken, 1+step*p)
	t.perOutputToken = scaled(t.perOutputToken, 1+step*o)
}

// minCoefficient is the smallest value of a coefficient. A smaller one could not
// grow again, because it is adjusted by factors.
const minCoefficient = 1e-6

// scaled returns a coefficient multiplied by factor, which is limited by
// maxErrorFactor.
func scaled(coefficient, factor float64) float64 {
	return max(coefficient*min(max(factor, 1.0/maxErrorFactor), maxErrorFactor), minCoefficient)
}
