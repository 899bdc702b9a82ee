package greengageroute

import (
	"os"
	"time"

	"github.com/gravitational/trace"
)

type (
	// Settings are the start-up settings of an entry.
	Settings struct {
		Name       string `yaml:"name"`
		DataCentre string `yaml:"data-centre"`
		// Listen is the address that callers and operators connect to.
		Listen string `yaml:"listen"`
		// PeerListen is the UDP address that receives messages from other entries.
		PeerListen string `yaml:"peer-listen"`
		// PeerAddress is the address that other entries send to, if it differs from
		// PeerListen.
		PeerAddress string   `yaml:"peer-address"`
		Seeds       []string `yaml:"seeds"`
		Platform    string   `yaml:"platform"`
		Keys        KeyPaths `yaml:"keys"`
		// OperatorTokenHash is the hash of a token with all permissions. The first
		// configuration file is applied with it.
		OperatorTokenHash string        `yaml:"operator-token-hash"`
		LeaseTerm         time.Duration `yaml:"lease-term"`
		StopGrace         time.Duration `yaml:"stop-grace"`
		StopTimeout       time.Duration `yaml:"stop-timeout"`
		// MemoryMB and FileDescriptors are the memory and the open files that the process may
		// use; 0 for the defaults.
		MemoryMB        int `yaml:"memory-mb"`
		FileDescriptors int `yaml:"file-descriptors"`
	}

	// KeyPaths are the paths of the PEM files that an entry authenticates itself
	// with, and of the key that authenticates event ids.
	KeyPaths struct {
		Authority   string `yaml:"authority"`
		Certificate string `yaml:"certificate"`
		Key         string `yaml:"key"`
		EventKey    string `yaml:"event-key"`
	}
)

// ReadSettings reads and checks a settings file. The error is a *ValidationError,
// or the error of reading the file.
func ReadSettings(path string) (Settings, error) {
	text, err := os.ReadFile(path)
	if err != nil {
		return Settings{}, trace.Wrap(err, "reading settings %q", path)
	}
	list := &diagnostics{file: path}
	settings := Settings{}
	decodeYAML(list, text, &settings)
	settings = settings.Defaults()
	settings.validate(list)
	return settings, list.err()
}

// Defaults returns the settings with defaults for omitted values.
func (settings Settings) Defaults() Settings {
	if settings.PeerAddress == "" {
		settings.PeerAddress = settings.PeerListen
	}
	settings.LeaseTerm = orElse(settings.LeaseTerm, 6*time.Second)
	settings.StopGrace = orElse(settings.StopGrace, 2*time.Second)
	settings.StopTimeout = orElse(settings.StopTimeout, 5*time.Minute)
	return settings
}

// Limits returns the resources of the entry's VM that the settings name.
func (settings Settings) Limits() VMLimits {
	return VMLimits{MemoryMB: settings.MemoryMB, FileDescriptors: settings.FileDescriptors}
}

func orElse(value, fallback time.Duration) time.Duration {
	if value == 0 {
		return fallback
	}
	return value
}

func (settings Settings) validate(list *diagnostics) {
	checkName(list, "name", settings.Name)
	checkName(list, "data-centre", settings.DataCentre)
	checkAddress(list, "listen", settings.Listen)
	checkAddress(list, "peer-listen", settings.PeerListen)
	checkAddress(list, "peer-address", settings.PeerAddress)
	checkAddress(list, "platform", settings.Platform)
	for _, seed := range settings.Seeds {
		checkAddress(list, "seeds", seed)
	}
	if settings.OperatorTokenHash != "" {
		checkHash(list, "operator-token-hash", settings.OperatorTokenHash)
	}
	if settings.MemoryMB < 0 || settings.FileDescriptors < 0 {
		list.add("memory-mb", "set memory-mb and file-descriptors above zero, or leave them out", "the memory or the number of files is negative")
	}
	for path, value := range map[string]string{
		"keys.authority": settings.Keys.Authority, "keys.certificate": settings.Keys.Certificate,
		"keys.key": settings.Keys.Key, "keys.event-key": settings.Keys.EventKey,
	} {
		if value == "" {
			list.add(path, "run \"greengageroute keys\" and set the path of the file that it writes", "the path of the file is missing")
		}
	}
}
