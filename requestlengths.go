package greengageroute

const (
	// minLengthSamples is the number of answers from which their measured lengths replace the
	// published means of the pool.
	minLengthSamples = 16
	// maxLengthSamples is about the number of answers that the means are over.
	maxLengthSamples = 256
	// maxLengthFactor bounds a sample, as a multiple of the published mean: callers state the
	// lengths of prompts, and a wrong one must not make the entry refuse all others.
	maxLengthFactor = 8
)

// RequestLengths are the mean lengths of a model's requests, measured on complete answers. The
// published means are over all models of a pool, and those of one model may be less than half
// as long. The zero value is one without answers.
type RequestLengths struct {
	prompt, answer float64 // tokens
	samples        int
}

// WithAnswer returns the lengths after a complete answer of an engine. An answer whose lengths
// aren't known doesn't count.
func (lengths RequestLengths) WithAnswer(engine *Engine, promptTokens, answerTokens int) RequestLengths {
	if promptTokens <= 0 || answerTokens <= 0 {
		return lengths
	}
	promptTokens = boundLength(promptTokens, engine.MeanPromptTokens)
	answerTokens = boundLength(answerTokens, engine.MeanAnswerTokens)
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

func boundLength(tokens, mean int) int {
	if mean <= 0 {
		return tokens
	}
	return min(tokens, maxLengthFactor*mean)
}
