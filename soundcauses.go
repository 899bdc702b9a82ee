package greengageroute

import "time"

const (
	// soundWindow is how long before a crash a target may have begun to answer a request
	// with a cause to show that the cause isn't why the target crashed.
	soundWindow    = 2 * time.Second
	maxSoundCauses = 4096
	maxNamedCauses = 1024
)

type (
	// soundCauses holds when causes were last found sound.
	soundCauses struct {
		current, previous map[CrashCause]time.Time // of this period of soundWindow and the one before
		since             time.Time                // begin of the period
		named             map[CrashCause]namedCause
	}

	// namedCause counts the crashes for which other entries suspect a cause that this
	// entry knows to be sound.
	namedCause struct {
		crashes int
		lastAt  time.Time
	}
)

func newSoundCauses() soundCauses {
	return soundCauses{current: map[CrashCause]time.Time{}, previous: map[CrashCause]time.Time{}, named: map[CrashCause]namedCause{}}
}

func (sound *soundCauses) add(cause CrashCause, now time.Time) {
	if now.Sub(sound.since) > soundWindow || len(sound.current) >= maxSoundCauses {
		sound.current, sound.previous = sound.previous, sound.current
		clear(sound.current)
		sound.since = now
	}
	sound.current[cause] = now
}

// has reports whether the cause was found sound within soundWindow before a time, or
// since.
func (sound *soundCauses) has(cause CrashCause, at time.Time) bool {
	found, known := sound.current[cause]
	if !known {
		found, known = sound.previous[cause]
	}
	return known && at.Sub(found) <= soundWindow
}

// countNamed counts a crash for which another entry suspects a cause that is sound. It
// reports whether the other entries are about to refuse the cause.
func (sound *soundCauses) countNamed(cause CrashCause, now time.Time) bool {
	named := sound.named[cause]
	if now.Sub(named.lastAt) < crashBurst {
		return false
	}
	named.crashes++
	named.lastAt = now
	if named.crashes >= partCrashLimit-1 {
		delete(sound.named, cause)
		return true
	}
	if len(sound.named) >= maxNamedCauses {
		clear(sound.named)
	}
	sound.named[cause] = named
	return false
}
