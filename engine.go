package greengageroute

import (
	"cmp"
	"math"
	"time"
)

type (
	// Engine describes the performance of a pool's model engines as their operator
	// publishes it. An engine works in iterations: each decodes a few token steps
	// for all running requests and prefills chunks of waiting prompts in between.
	Engine struct {
		Slots               int // requests that run concurrently
		Models              []EngineModel
		StepTime            time.Duration // of a token step without requests
		StepTimePerSequence time.Duration // added to a token step for each running request
		StepTimePerKToken   time.Duration // added to a token step for each 1,000 tokens of context
		PrefillRate         float64       // prompt tokens per second
		AttentionTime       time.Duration // prefill time for each million pairs of a token and an earlier one
		PrefillChunk        int           // maximum of prompt tokens prefilled in one step
		StepsPerIteration   int           // token steps of an iteration
		KVCacheTokens       int           // capacity of the KV cache
		MeanPromptTokens    int
		MeanAnswerTokens    int
		ReportLag           time.Duration
		LoadsPerSecond      float64 // loads of weights that the store allows to start, over all targets
		ConcurrentLoads     int     // above this number each load takes longer
		StagedModels        int     // models whose weights a host keeps on disk
		CrossDomainFactor   float64 // factor on times of a replica across fabric domains
		FormationTime       time.Duration
	}

	// EngineModel is one model that a pool's targets can form replicas of.
	EngineModel struct {
		Name       string
		Size       int     // number of targets of a replica
		Share      float64 // initial share of the work
		TimeFactor float64 // factor on all times
		LoadTime   time.Duration
		StageTime  time.Duration // time to join with staged weights
		// MeanPromptTokens and MeanAnswerTokens are the measured means of the model's requests;
		// 0: those of the pool's engine.
		MeanPromptTokens, MeanAnswerTokens int
	}

	// EngineLoad is the load of one replica.
	EngineLoad struct {
		Running       int // requests sent and not ended, including those in prefill
		PrefillTokens int // prompt tokens sent and not yet processed
	}
)

// Model returns a model by its name.
func (engine *Engine) Model(name string) (EngineModel, bool) {
	for _, model := range engine.Models {
		if model.Name == name {
			return model, true
		}
	}
	return EngineModel{}, false
}

func (engine *Engine) meanPrompt(model EngineModel) int {
	return cmp.Or(model.MeanPromptTokens, engine.MeanPromptTokens)
}

func (engine *Engine) meanAnswer(model EngineModel) int {
	return cmp.Or(model.MeanAnswerTokens, engine.MeanAnswerTokens)
}

// IterationTime returns the duration of an iteration that only decodes, for the
// given number of running requests.
func (engine *Engine) IterationTime(model EngineModel, running int) time.Duration {
	running = min(running, engine.Slots)
	contextKTokens := float64(running*(engine.meanPrompt(model)+engine.meanAnswer(model)/2)) / 1000
	stepTime := float64(engine.StepTime) + float64(engine.StepTimePerSequence)*float64(running) + float64(engine.StepTimePerKToken)*contextKTokens
	return time.Duration(stepTime * float64(max(engine.StepsPerIteration, 1)) * model.TimeFactor)
}

// PrefillTime returns the prefill time of the given number of prompt tokens.
func (engine *Engine) PrefillTime(model EngineModel, tokens int) time.Duration {
	if engine.PrefillRate <= 0 {
		return 0
	}
	meanPrompt := float64(max(engine.meanPrompt(model), 1))
	pairs := float64(tokens) * meanPrompt / 2 / 1e6
	seconds := float64(tokens)/engine.PrefillRate + pairs*engine.AttentionTime.Seconds()
	return time.Duration(seconds * model.TimeFactor * float64(time.Second))
}

// TimeToFirstToken predicts the time to a request's first token on a replica with
// the given load.
func (engine *Engine) TimeToFirstToken(model EngineModel, load EngineLoad, promptTokens int) time.Duration {
	iteration := engine.IterationTime(model, load.Running+1)
	return engine.PrefillTime(model, load.PrefillTokens+promptTokens) + iteration*3/2 + engine.SlotWait(model, load)
}

// SlotWait predicts how long a further request waits for a slot.
func (engine *Engine) SlotWait(model EngineModel, load EngineLoad) time.Duration {
	return time.Duration(max(load.Running+1-engine.Slots, 0)) * engine.slotReleaseInterval(model)
}

// slotReleaseInterval returns the mean time until the next running request ends on
// a full replica.
func (engine *Engine) slotReleaseInterval(model EngineModel) time.Duration {
	iterations := math.Ceil(float64(engine.meanAnswer(model)) / float64(max(engine.StepsPerIteration, 1)))
	generation := float64(engine.IterationTime(model, engine.Slots)) * iterations
	return time.Duration(generation/float64(max(engine.Slots, 1))) + engine.PrefillTime(model, engine.meanPrompt(model))
}

// LongestIteration returns the longest time that a healthy replica with the given
// load sends no event: an iteration that decodes for all slots and prefills the
// waiting prompts.
func (engine *Engine) LongestIteration(model EngineModel, load EngineLoad) time.Duration {
	return engine.IterationTime(model, engine.Slots) + engine.PrefillTime(model, min(load.PrefillTokens, engine.PrefillChunk*max(engine.StepsPerIteration, 1)))
}
