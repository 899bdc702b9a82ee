package greengageroute

import (
	"fmt"
	"maps"
)

type (
	// Contract is the row that bounds how many VMs all data centres hold in total.
	// The supplier bills by the busiest minute of the month, so the highest number
	// of VMs held at once determines the cost. It is immutable.
	Contract struct {
		Month string         `json:"month"` // such as 2026-12
		Limit int            `json:"limit"` // highest number of VMs, never exceeded
		Peak  int            `json:"peak"`  // highest number of VMs held at once this month, already paid for
		Held  map[string]int `json:"held"`  // VMs that each data centre may hold
	}

	// ContractLimitError reports a request for more VMs than the contract allows.
	ContractLimitError struct {
		DataCentre string
		Wanted     int
		Total      int
		Limit      int
	}
)

func (err *ContractLimitError) Error() string {
	return fmt.Sprintf("data centre %q requests %d VMs, which makes %d in total and exceeds the contract's limit of %d; raise peak-vms or request fewer groups",
		err.DataCentre, err.Wanted, err.Total, err.Limit)
}

// Total returns how many VMs all data centres may hold now.
func (contract Contract) Total() int {
	total := 0
	for _, held := range contract.Held {
		total += held
	}
	return total
}

// WithHeld returns the contract after a data centre is allowed the given number of
// VMs. Growth past the limit fails with a *ContractLimitError; giving VMs back is
// always allowed.
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

// WithMonth returns the contract at the start of a month: the peak starts again at
// the VMs held now.
func (contract Contract) WithMonth(month string) Contract {
	if contract.Month != month {
		contract.Month = month
		contract.Peak = contract.Total()
	}
	return contract
}
