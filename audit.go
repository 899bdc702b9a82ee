package greengageroute

import "time"

type (
	// AuditRecord is one line of the audit trail, written in the same transaction as
	// the change that it describes.
	AuditRecord struct {
		Revision uint64    `json:"revision"` // of the configuration, or of the data centre's fleet
		At       time.Time `json:"at"`
		Actor    string    `json:"who"`
		Subject  string    `json:"subject"`
		From     uint64    `json:"from"`
		To       uint64    `json:"to"`
		Changes  []string  `json:"what"`
		ApplyID  string    `json:"apply-id,omitempty"`
	}
)
