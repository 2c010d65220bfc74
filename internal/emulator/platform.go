package emulator

import (
	"io"
	"net/http"

	"github.com/labstack/echo/v4"
)

// PlatformConfig configures a Platform.
type PlatformConfig struct {
	Table   TableConfig
	Objects ObjectsConfig
	VMList  VMListConfig
	Weights WeightsConfig
}

// Platform serves all of the platform's services at one URL: the table at /, objects under /objects, the list of VMs at
// /vms and weights under /weights. Faults are set per service.
type Platform struct {
	Table   *Table
	Objects *Objects
	VMList  *VMList
	Weights *Weights
}

// NewPlatform returns a Platform without rows, objects or VMs.
func NewPlatform(c PlatformConfig) *Platform {
	return &Platform{
		Table: NewTable(c.Table), Objects: NewObjects(c.Objects), VMList: NewVMList(c.VMList), Weights: NewWeights(c.Weights),
	}
}

// services returns the fault injector of each service by the name in its route, /faults/NAME.
func (p *Platform) services() map[string]*faultInjector {
	return map[string]*faultInjector{
		"table": p.Table.faultInjector, "objects": p.Objects.faultInjector, "vms": p.VMList.faultInjector, "weights": p.Weights.faultInjector,
	}
}

// SetFaults replaces the faults of all services.
func (p *Platform) SetFaults(f Faults) {
	for _, c := range p.services() {
		c.SetFaults(f)
	}
}

// Crash emulates a crash of all services.
func (p *Platform) Crash() {
	for _, c := range p.services() {
		c.Crash()
	}
}

// Handler serves all services. /faults applies to all of them; /faults/table, /faults/objects, /faults/vms and
// /faults/weights apply to one.
func (p *Platform) Handler() http.Handler {
	e := newEcho()
	p.Table.register(e)
	p.Objects.register(e)
	p.VMList.register(e)
	p.Weights.register(e)
	for name, c := range p.services() {
		c.registerFaultRoutes(e, faultsPath+"/"+name)
	}
	e.GET(faultsPath, func(x echo.Context) error {
		all := map[string]Faults{}
		for name, c := range p.services() {
			all[name] = c.Faults()
		}
		return x.JSON(http.StatusOK, all)
	})
	e.POST(faultsPath, func(x echo.Context) error {
		body, err := io.ReadAll(io.LimitReader(x.Request().Body, maxBodyBytes))
		if err != nil {
			return err
		}
		for _, c := range p.services() {
			if err := c.mergeFaults(body); err != nil {
				return x.JSON(http.StatusBadRequest, newErrorBody(http.StatusBadRequest, err.Error()))
			}
		}
		return x.NoContent(http.StatusNoContent)
	})
	e.DELETE(faultsPath, func(x echo.Context) error {
		p.SetFaults(Faults{})
		return x.NoContent(http.StatusNoContent)
	})
	e.POST(faultsPath+"/crash", func(x echo.Context) error {
		p.Crash()
		return x.NoContent(http.StatusNoContent)
	})
	e.GET(requestLogPath, func(x echo.Context) error {
		all := map[string][]RequestRecord{}
		for name, c := range p.services() {
			all[name] = c.SeenRequests()
		}
		return x.JSON(http.StatusOK, all)
	})
	return e
}
