package table

import (
	"context"
	"maps"
	"slices"
	"strings"
	"sync"

	greengageroute "greengageroute.example/greengageroute"
)

type (
	// Memory is a Table, VMList and Supplier in memory, for the stand-in and tests.
	Memory struct {
		mu       sync.Mutex
		rows     map[string]Row
		vms      []greengageroute.VM
		rentable []greengageroute.VM // that the supplier can still rent out
		commits  int
		reads    int
	}
)

// NewMemory returns an empty table that lists the given VMs.
func NewMemory(vms ...greengageroute.VM) *Memory {
	return &Memory{rows: map[string]Row{}, vms: vms}
}

// Read implements Table.
func (memory *Memory) Read(_ context.Context, key string) (Row, error) {
	memory.mu.Lock()
	defer memory.mu.Unlock()
	memory.reads++
	return memory.rows[key], nil
}

// Scan implements Table.
func (memory *Memory) Scan(_ context.Context, prefix, after string, limit int) ([]Row, error) {
	memory.mu.Lock()
	defer memory.mu.Unlock()
	memory.reads++
	found := []Row{}
	for _, key := range slices.Sorted(maps.Keys(memory.rows)) {
		if strings.HasPrefix(key, prefix) && key > after && len(found) < limit {
			found = append(found, memory.rows[key])
		}
	}
	return found, nil
}

// Commit implements Table.
func (memory *Memory) Commit(_ context.Context, writes ...Write) error {
	memory.mu.Lock()
	defer memory.mu.Unlock()
	for _, write := range writes {
		if memory.rows[write.Key].Version != write.ExpectedVersion {
			return &ConflictError{Key: write.Key}
		}
	}
	for _, write := range writes {
		memory.rows[write.Key] = Row{Key: write.Key, Version: write.ExpectedVersion + 1, Value: write.Value}
	}
	memory.commits++
	return nil
}

// VMs implements VMList.
func (memory *Memory) VMs(_ context.Context, dataCentre string) ([]greengageroute.VM, error) {
	memory.mu.Lock()
	defer memory.mu.Unlock()
	memory.reads++
	listed := []greengageroute.VM{}
	for _, vm := range memory.vms {
		if dataCentre == "" || vm.DataCentre == dataCentre {
			listed = append(listed, vm)
		}
	}
	return listed, nil
}

// SetVM adds a VM to the list, or replaces the VM with the same ID.
func (memory *Memory) SetVM(vm greengageroute.VM) {
	memory.mu.Lock()
	defer memory.mu.Unlock()
	memory.vms = slices.DeleteFunc(memory.vms, func(other greengageroute.VM) bool { return other.ID == vm.ID })
	memory.vms = append(memory.vms, vm)
}

// Counts returns the numbers of reads and commits made so far.
func (memory *Memory) Counts() (reads, commits int) {
	memory.mu.Lock()
	defer memory.mu.Unlock()
	return memory.reads, memory.commits
}

// AddRentable adds VMs that the supplier can rent out.
func (memory *Memory) AddRentable(vms ...greengageroute.VM) {
	memory.mu.Lock()
	defer memory.mu.Unlock()
	memory.rentable = append(memory.rentable, vms...)
}

// Take implements Supplier.
func (memory *Memory) Take(_ context.Context, dataCentre, domain string, vms int) error {
	memory.mu.Lock()
	defer memory.mu.Unlock()
	held := 0
	for _, vm := range memory.vms {
		if vm.DataCentre == dataCentre && vm.Domain == domain {
			held++
		}
	}
	memory.rentable = slices.DeleteFunc(memory.rentable, func(vm greengageroute.VM) bool {
		if held >= vms || vm.DataCentre != dataCentre || vm.Domain != domain {
			return false
		}
		held++
		memory.vms = append(memory.vms, vm)
		return true
	})
	return nil
}

// GiveBack implements Supplier.
func (memory *Memory) GiveBack(_ context.Context, vms ...string) error {
	memory.mu.Lock()
	defer memory.mu.Unlock()
	memory.vms = slices.DeleteFunc(memory.vms, func(vm greengageroute.VM) bool { return slices.Contains(vms, vm.ID) })
	return nil
}
