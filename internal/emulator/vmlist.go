package emulator

import (
	"encoding/json"
	"maps"
	"net/http"
	"slices"
	"sync"
	"time"

	"github.com/labstack/echo/v4"

	"geraniumladder/internal/storer"
)

// VMListConfig configures a VMList.
type VMListConfig struct {
	// Lag is the delay until a registration or removal is visible in the list.
	Lag time.Duration
	// Seed of the random numbers for faults with a rate.
	Seed uint64
}

// RegisteredVM is the body of POST /vms, which registers a VM.
type RegisteredVM struct {
	VM            string `json:"Vm"`
	Address       string
	FailureDomain string
	// Role is "entry" or "sidecar".
	Role string
	// State is "live" or "leaving"; "live" if empty.
	State string
}

type vmChange struct {
	at      time.Time
	vm      RegisteredVM
	removed bool
}

// VMList emulates the platform's list of live and leaving VMs. Changes become visible after a delay. Registrations
// persist across crashes.
type VMList struct {
	*faultInjector

	lag time.Duration

	stateMu sync.Mutex
	visible map[string]RegisteredVM
	// pendingChanges are the changes that are not yet visible, oldest first.
	pendingChanges []vmChange
}

// NewVMList returns an empty VMList.
func NewVMList(c VMListConfig) *VMList {
	return &VMList{faultInjector: newFaultInjector(c.Seed, isWriteMethod, nil), lag: c.Lag, visible: map[string]RegisteredVM{}}
}

// Handler serves the list at /vms, the faults and the request log.
func (l *VMList) Handler() http.Handler {
	e := newEcho()
	l.register(e)
	l.registerFaultRoutes(e, faultsPath)
	l.registerRequestLog(e)
	return e
}

func (l *VMList) register(e *echo.Echo) {
	e.GET("/vms", func(x echo.Context) error { return x.JSON(http.StatusOK, l.targetGroups(time.Now())) }, l.withFaults)
	e.POST("/vms", func(x echo.Context) error {
		var vm RegisteredVM
		if err := json.NewDecoder(x.Request().Body).Decode(&vm); err != nil || vm.VM == "" || vm.Address == "" {
			return x.JSON(http.StatusBadRequest, newErrorBody(http.StatusBadRequest, "give a JSON object with at least Vm and Address"))
		}
		l.Register(vm)
		return x.NoContent(http.StatusNoContent)
	}, l.withFaults)
	e.DELETE("/vms/:name", func(x echo.Context) error {
		l.Remove(x.Param("name"))
		return x.NoContent(http.StatusNoContent)
	}, l.withFaults)
}

// Register adds a VM or replaces its registration.
func (l *VMList) Register(vm RegisteredVM) {
	if vm.State == "" {
		vm.State = storer.StateLive
	}
	l.addChange(vmChange{at: time.Now(), vm: vm})
}

// Remove removes a VM from the list.
func (l *VMList) Remove(name string) {
	l.addChange(vmChange{at: time.Now(), vm: RegisteredVM{VM: name}, removed: true})
}

func (l *VMList) addChange(c vmChange) {
	l.stateMu.Lock()
	defer l.stateMu.Unlock()
	l.pendingChanges = append(l.pendingChanges, c)
}

func (l *VMList) targetGroups(now time.Time) []storer.TargetGroup {
	lag := l.lag
	if fault := time.Duration(l.Faults().Lag); fault > 0 {
		lag = fault
	}
	l.stateMu.Lock()
	defer l.stateMu.Unlock()
	for len(l.pendingChanges) > 0 && !l.pendingChanges[0].at.After(now.Add(-lag)) {
		c := l.pendingChanges[0]
		l.pendingChanges = l.pendingChanges[1:]
		if c.removed {
			delete(l.visible, c.vm.VM)
		} else {
			l.visible[c.vm.VM] = c.vm
		}
	}
	targetGroups := []storer.TargetGroup{}
	for _, name := range slices.Sorted(maps.Keys(l.visible)) {
		vm := l.visible[name]
		targetGroups = append(targetGroups, storer.TargetGroup{
			Targets: []string{vm.Address},
			Labels:  storer.TargetLabels{VM: vm.VM, FailureDomain: vm.FailureDomain, State: vm.State, Role: vm.Role},
		})
	}
	return targetGroups
}
