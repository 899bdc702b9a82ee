package greengageroute

import "runtime/debug"

const (
	// memoryLimitRatio is the part of the VM's memory that is the runtime's soft memory
	// limit: near it the garbage collector runs more often.
	memoryLimitRatio = 0.6
	// gcPercent is the growth of the heap at which garbage is collected. It is low
	// because memory is billed by its peak.
	gcPercent = 40
)

// LimitMemory sets how much garbage this process leaves, which is to stay within the VM's
// memory.
func (limits VMLimits) LimitMemory() {
	debug.SetGCPercent(gcPercent)
	debug.SetMemoryLimit(int64(memoryLimitRatio * float64(limits.memoryMB()) * (1 << 20)))
}
