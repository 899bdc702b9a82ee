package greengageroute

import "time"

const (
	// soundPieces and soundTime are how far a target must be with an answer to show that
	// the request doesn't crash it. A request that crashes its target does so when the
	// answer begins.
	soundPieces = 5
	soundTime   = 300 * time.Millisecond
)

// AnswerProgress is how far a target is with a streamed answer.
type AnswerProgress struct {
	pieces  int // events or tokens
	firstAt time.Time
	sound   bool
}

// WithPiece returns the progress after a further piece.
func (progress AnswerProgress) WithPiece(now time.Time) AnswerProgress {
	if progress.pieces == 0 {
		progress.firstAt = now
	}
	progress.pieces++
	progress.sound = progress.pieces >= soundPieces && now.Sub(progress.firstAt) >= soundTime
	return progress
}

// Pieces returns the number of pieces that have come.
func (progress AnswerProgress) Pieces() int { return progress.pieces }

// IsSound reports whether the progress shows that the request doesn't crash its target.
func (progress AnswerProgress) IsSound() bool { return progress.sound }

// SinceFirst returns the time from the first piece to the given time, or 0 if none came.
func (progress AnswerProgress) SinceFirst(now time.Time) time.Duration {
	if progress.pieces == 0 {
		return 0
	}
	return now.Sub(progress.firstAt)
}
