package caller

import (
	"net/http"
	"time"

	greengageroute "greengageroute.example/greengageroute"
)

type (
	// chatCauses is what groups may crash of when they run a chat.
	chatCauses struct {
		request greengageroute.CrashCause
		parts   []greengageroute.CrashCause
	}
)

func newChatCauses(digest []byte, completion Completion) chatCauses {
	return chatCauses{greengageroute.RequestCause(string(digest)), completion.partCauses()}
}

// checkQuarantine refuses requests that crash groups.
func (service *Service) checkQuarantine(causes chatCauses) error {
	decision := service.quarantine.Check(causes.request, causes.parts, service.state.HoldsLease(), time.Now())
	if decision.State == greengageroute.QuarantineRefused {
		service.counters.Add(CountQuarantined, 1)
		return quarantined(decision)
	}
	return nil
}

// recordCrash records that a group may have crashed because of the request, and reports
// it to the other entries.
func (run *chatRun) recordCrash(assignment string) {
	service, now := run.service, time.Now()
	suspects := service.quarantine.Suspects(run.causes.parts, now)
	for _, report := range greengageroute.NewCrashReports(assignment, run.causes.request, suspects) {
		if sound := service.quarantine.RecordCrash(report, now); len(sound) > 0 {
			service.state.ReportSound(sound)
		}
		service.state.ReportCrash(report)
	}
}

// recordSound records that the request crashes no groups, and that its group serves.
func (run *chatRun) recordSound() {
	run.service.groupRests.RecordSuccess(run.group.Assignment())
	if suspected := run.service.quarantine.RecordSound(run.causes.request, run.causes.parts, time.Now()); len(suspected) > 0 {
		run.service.state.ReportSound(suspected)
	}
}

func quarantined(decision greengageroute.QuarantineDecision) *Refusal {
	return &Refusal{
		Status: http.StatusUnprocessableEntity, Code: "quarantined", RetryAfter: decision.RetryAfter,
		Message: "groups crashed while they ran this request or another with one of its messages; change the request or send it again later",
	}
}
