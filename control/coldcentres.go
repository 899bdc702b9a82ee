package control

import (
	"maps"
	"time"

	greengageroute "greengageroute.example/greengageroute"
)

// coldCentreTTL is longer than the targets of any pool are cold after their start.
const coldCentreTTL = 2 * time.Minute

// Now reads the clock that the times of the view's targets come from.
func (directory *Directory) Now() time.Time { return directory.clock.Now() }

// markCold has all targets of a data centre count as cold from now on for the time that their
// pools' targets are cold after their start, whatever their rows say: they got no requests for
// long. The caller holds the lock.
func (directory *Directory) markCold(dataCentre string, now time.Time) {
	maps.DeleteFunc(directory.coldCentres, func(_ string, since time.Time) bool { return now.Sub(since) > coldCentreTTL })
	directory.coldCentres[dataCentre] = now
	for id, target := range directory.targets {
		if target.DataCentre == dataCentre {
			directory.touched.Add(id)
		}
	}
}

// withColdCentre returns the target as the view shows it. The caller holds the lock.
func (directory *Directory) withColdCentre(target greengageroute.Target) greengageroute.Target {
	since, marked := directory.coldCentres[target.DataCentre]
	if !marked || directory.routes == nil {
		return target
	}
	coldTime := directory.routes.Pools[target.Pool].ColdTime
	if until := since.Add(coldTime); coldTime > 0 && until.After(target.ListedColdUntil) {
		target.ListedColdUntil = until
	}
	return target
}
