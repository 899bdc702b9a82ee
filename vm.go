package greengageroute

// States of a VM in the platform's list.
const (
	VMLive    = "live"
	VMLeaving = "leaving"
)

type (
	// VM is a machine with accelerators as the platform's list shows it. The list
	// lags behind the VM's actual state.
	VM struct {
		ID         string `json:"id"`
		Address    string `json:"address"` // IP:port of the engine
		DataCentre string `json:"data-centre"`
		Domain     string `json:"fabric-domain"`
		State      string `json:"state"`
	}

	// EngineReport is what an engine reports about itself when probed.
	EngineReport struct {
		VM         string `json:"vm"`
		Boot       string `json:"boot"`   // changes with every start of the engine
		Group      string `json:"group"`  // empty while the engine belongs to no group
		Generation uint64 `json:"number"` // of the assignment under which it was loaded or released
		Loaded     bool   `json:"loaded"`
		Leaving    bool   `json:"leaving"`
		Streams    int    `json:"streams"` // responses being generated
	}

	// VMHealth is what a prober knows about one VM.
	VMHealth struct {
		Report       EngineReport
		Reachable    bool
		MissedProbes int // probes in a row without an answer
	}
)

// LoadedFor reports whether the engine is loaded for the group under the generation.
func (report EngineReport) LoadedFor(group string, generation uint64) bool {
	return report.Loaded && report.Group == group && report.Generation == generation
}

// Released reports whether the engine has accepted a release and has no streams
// left.
func (report EngineReport) Released(generation uint64) bool {
	return report.Generation >= generation && report.Group == "" && report.Streams == 0
}
