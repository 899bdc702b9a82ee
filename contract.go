package greengageroute

import (
	"fmt"
	"maps"
)

type (
	// Contract is the row that bounds how many VMs all data centres hold
	// together. The supplier bills by the month's busiest minute, so what
	// counts is the most that was held at once. It is immutable.
	Contract struct {
		Month string         `json:"month"` // such as 2026-12
		Limit int            `json:"limit"` // VMs that may never be passed
		Peak  int            `json:"peak"`  // most VMs held at once this month, already paid
		Held  map[string]int `json:"held"`  // VMs that each data centre may hold
	}

	// ContractLimitError says that more VMs were asked for than the contract allows.
	ContractLimitError struct {
		DataCentre string
		Wanted     int
		Total      int
		Limit      int
	}
)

func (err *ContractLimitError) Error() string {
	return fmt.Sprintf("data centre %q asks for %d VMs, which makes %d in all, more than the contract's %d; raise peak-vms or ask for fewer groups",
		err.DataCentre, err.Wanted, err.Total, err.Limit)
}

// Total is the number of VMs that all data centres may hold now.
func (contract Contract) Total() int {
	total := 0
	for _, held := range contract.Held {
		total += held
	}
	return total
}

// WithHeld returns the contract once a data centre holds the given number of
// VMs. Growth past the limit is a *ContractLimitError; giving back is always
// allowed.
func (contract Contract) WithHeld(dataCentre string, vms int) (Contract, error) {
	before := contract.Held[dataCentre]
	held := map[string]int{}
	maps.Copy(held, contract.Held)
	held[dataCentre] = vms
	contract.Held = held
	total := contract.Total()
	if vms > before && total > contract.Limit {
		return contract, &ContractLimitError{DataCentre: dataCentre, Wanted: vms, Total: total, Limit: contract.Limit}
	}
	contract.Peak = max(contract.Peak, total)
	return contract, nil
}

// WithMonth returns the contract at the start of a month: nothing is paid yet
// but what is held now.
func (contract Contract) WithMonth(month string) Contract {
	if contract.Month != month {
		contract.Month = month
		contract.Peak = contract.Total()
	}
	return contract
}
