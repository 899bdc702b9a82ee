package greengageroute

const (
	// minLengthSamples is the number of answers from which their measured lengths replace the
	// published means of the pool.
	minLengthSamples = 16
	// maxLengthSamples is about the number of answers that the means are over.
	maxLengthSamples = 256
)

// RequestLengths are the mean lengths of a model's requests, measured on complete answers. The
// published means are over all models of a pool, and those of one model may be less than half
// as long. The zero value is one without answers.
type RequestLengths struct {
	prompt, answer float64 // tokens
	samples        int
}

// WithAnswer returns the lengths after a complete answer.
func (lengths RequestLengths) WithAnswer(promptTokens, answerTokens int) RequestLengths {
	lengths.samples = min(lengths.samples+1, maxLengthSamples)
	weight := 1 / float64(lengths.samples)
	lengths.prompt += weight * (float64(promptTokens) - lengths.prompt)
	lengths.answer += weight * (float64(answerTokens) - lengths.answer)
	return lengths
}

// Of returns the model with the measured lengths, once there are enough answers.
func (lengths RequestLengths) Of(model EngineModel) EngineModel {
	if lengths.samples >= minLengthSamples {
		model.MeanPromptTokens, model.MeanAnswerTokens = int(lengths.prompt), int(lengths.answer)
	}
	return model
}
