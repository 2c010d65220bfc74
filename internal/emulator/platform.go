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

// Platform joins the platform's services at one URL: the table at /, objects under /objects, the list of VMs at /vms
// and weights under /weights. Each service has its own faults.
type Platform struct {
	Table   *Table
	Objects *Objects
	VMList  *VMList
	Weights *Weights
}

// NewPlatform returns a Platform without rows, objects and VMs.
func NewPlatform(c PlatformConfig) *Platform {
	return &Platform{
		Table: NewTable(c.Table), Objects: NewObjects(c.Objects), VMList: NewVMList(c.VMList), Weights: NewWeights(c.Weights),
	}
}

// services returns the services by the names that their fault pages have.
func (p *Platform) services() map[string]*control {
	return map[string]*control{
		"table": p.Table.control, "objects": p.Objects.control, "vms": p.VMList.control, "weights": p.Weights.control,
	}
}

// SetFaults replaces the faults of all services.
func (p *Platform) SetFaults(f Faults) {
	for _, c := range p.services() {
		c.SetFaults(f)
	}
}

// Crash crashes all services.
func (p *Platform) Crash() {
	for _, c := range p.services() {
		c.Crash()
	}
}

// Handler serves all services. /faults stands for all of them and /faults/table, /faults/objects, /faults/vms and
// /faults/weights for one.
func (p *Platform) Handler() http.Handler {
	e := newEcho()
	p.Table.register(e)
	p.Objects.register(e)
	p.VMList.register(e)
	p.Weights.register(e)
	for name, c := range p.services() {
		c.registerPages(e, pageFaults+"/"+name)
	}
	e.GET(pageFaults, func(x echo.Context) error {
		all := map[string]Faults{}
		for name, c := range p.services() {
			all[name] = c.Faults()
		}
		return x.JSON(http.StatusOK, all)
	})
	e.POST(pageFaults, func(x echo.Context) error {
		body, err := io.ReadAll(io.LimitReader(x.Request().Body, maxBodyBytes))
		if err != nil {
			return err
		}
		for _, c := range p.services() {
			if err := c.merge(body); err != nil {
				return x.JSON(http.StatusBadRequest, failure(http.StatusBadRequest, err.Error()))
			}
		}
		return x.NoContent(http.StatusNoContent)
	})
	e.DELETE(pageFaults, func(x echo.Context) error {
		p.SetFaults(Faults{})
		return x.NoContent(http.StatusNoContent)
	})
	e.POST(pageFaults+"/crash", func(x echo.Context) error {
		p.Crash()
		return x.NoContent(http.StatusNoContent)
	})
	e.GET(pageSeen, func(x echo.Context) error {
		all := map[string][]Seen{}
		for name, c := range p.services() {
			all[name] = c.SeenRequests()
		}
		return x.JSON(http.StatusOK, all)
	})
	return e
}
