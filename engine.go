package greengageroute

import (
	"math"
	"time"
)

type (
	// Engine is how a pool's model engines work, as their operator publishes it.
	// An engine works in passes: each pass that writes makes a few token steps for
	// all running requests, and reads pieces of waiting prompts in between.
	Engine struct {
		Slots               int // requests that run at once
		Models              []EngineModel
		StepTime            time.Duration // of a token step with no request
		StepTimePerSequence time.Duration // a token step's share for each running request
		StepTimePerKToken   time.Duration // a token step's share for each 1,000 tokens of context
		PrefillRate         float64       // prompt tokens read a second
		AttentionTime       time.Duration // for each million pairs of a token and an earlier one
		PrefillChunk        int           // most prompt tokens read in one step
		StepsPerIteration   int           // token steps of a pass
		KVCacheTokens       int           // that fit into memory
		MeanPromptTokens    int
		MeanAnswerTokens    int
		ReportLag           time.Duration
		LoadsPerSecond      float64 // that may start at the weights' store, all together
		ConcurrentLoads     int     // beyond which each takes longer
		StagedModels        int     // that a host keeps
		CrossDomainFactor   float64 // slower across fabric domains
		FormationTime       time.Duration
	}

	// EngineModel is one model that a pool's targets can form replicas of.
	EngineModel struct {
		Name       string
		Size       int     // targets of a replica
		Share      float64 // of the work at the start
		TimeFactor float64 // factor on all times
		LoadTime   time.Duration
		StageTime  time.Duration // to join with staged weights
	}

	// EngineLoad is what one replica has to do.
	EngineLoad struct {
		Running       int // requests sent and not ended, those that read included
		PrefillTokens int // prompt tokens sent and not yet read
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

// IterationTime returns how long an iteration takes that only writes, for that many requests.
func (engine *Engine) IterationTime(model EngineModel, running int) time.Duration {
	running = min(running, engine.Slots)
	contextKTokens := float64(running*(engine.MeanPromptTokens+engine.MeanAnswerTokens/2)) / 1000
	step := float64(engine.StepTime) + float64(engine.StepTimePerSequence)*float64(running) + float64(engine.StepTimePerKToken)*contextKTokens
	return time.Duration(step * float64(max(engine.StepsPerIteration, 1)) * model.TimeFactor)
}

// PrefillTime returns how long prompts of that many tokens take to read.
func (engine *Engine) PrefillTime(model EngineModel, tokens int) time.Duration {
	if engine.PrefillRate <= 0 {
		return 0
	}
	meanPrompt := float64(max(engine.MeanPromptTokens, 1))
	pairs := float64(tokens) * meanPrompt / 2 / 1e6
	seconds := float64(tokens)/engine.PrefillRate + pairs*engine.AttentionTime.Seconds()
	return time.Duration(seconds * model.TimeFactor * float64(time.Second))
}

// TimeToFirstToken predicts how long a request waits for its first token on a replica
// with that load.
func (engine *Engine) TimeToFirstToken(model EngineModel, load EngineLoad, promptTokens int) time.Duration {
	iteration := engine.IterationTime(model, load.Running+1)
	wait := engine.PrefillTime(model, load.PrefillTokens+promptTokens) + iteration*3/2
	if excess := load.Running + 1 - engine.Slots; excess > 0 {
		wait += time.Duration(excess) * engine.slotReleaseInterval(model)
	}
	return wait
}

// slotTime is the mean time until the next running request ends, on a full replica.
func (engine *Engine) slotReleaseInterval(model EngineModel) time.Duration {
	iterations := math.Ceil(float64(engine.MeanAnswerTokens) / float64(max(engine.StepsPerIteration, 1)))
	generation := float64(engine.IterationTime(model, engine.Slots)) * iterations
	return time.Duration(generation/float64(max(engine.Slots, 1))) + engine.PrefillTime(model, engine.MeanPromptTokens)
}

// LongestIteration is the longest that a healthy replica with that load goes without
// an event: a pass that writes for all its slots and reads what waits.
func (engine *Engine) LongestIteration(model EngineModel, load EngineLoad) time.Duration {
	return engine.IterationTime(model, engine.Slots) + engine.PrefillTime(model, min(load.PrefillTokens, engine.PrefillChunk*max(engine.StepsPerIteration, 1)))
}
