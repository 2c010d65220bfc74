package emulator

import (
	"context"
	"encoding/xml"
	"io"
	"net/http"

	"github.com/labstack/echo/v4"

	"geraniumladder/internal/storer"
)

// ObjectsConfig configures Objects.
type ObjectsConfig struct {
	// Seed of the faults with a rate.
	Seed uint64
}

// Objects is the object store: S3 in path style, /objects/BUCKET/KEY. It keeps its objects when it crashes.
type Objects struct {
	*control

	store *storer.Memory
}

// NewObjects returns an empty object store.
func NewObjects(c ObjectsConfig) *Objects {
	return &Objects{control: newControl(c.Seed, writesByMethod, nil), store: storer.NewMemory()}
}

// Handler serves the objects under /objects and the fault pages.
func (o *Objects) Handler() http.Handler {
	e := newEcho()
	o.register(e)
	o.registerPages(e, pageFaults)
	o.registerSeen(e)
	return e
}

func (o *Objects) register(e *echo.Echo) {
	e.GET("/objects/:bucket/*", o.get, o.wrap)
	e.HEAD("/objects/:bucket/*", o.get, o.wrap)
	e.PUT("/objects/:bucket/*", o.put, o.wrap)
	e.DELETE("/objects/:bucket/*", o.remove, o.wrap)
}

func objectKey(e echo.Context) string { return e.Param("bucket") + "/" + e.Param("*") }

// objectError is an error answer of the object store.
type objectError struct {
	XMLName xml.Name `xml:"Error"`
	Code    string
	Message string
	Key     string
}

func (o *Objects) get(e echo.Context) error {
	body, err := o.store.GetObject(e.Request().Context(), objectKey(e))
	if storer.IsKind(err, storer.NotFound) {
		return e.XML(http.StatusNotFound, objectError{Code: "NoSuchKey", Message: "The specified key does not exist.", Key: e.Param("*")})
	}
	if err != nil {
		return err
	}
	return e.Blob(http.StatusOK, echo.MIMEOctetStream, body)
}

func (o *Objects) put(e echo.Context) error {
	if e.Request().Header.Get("X-Amz-Decoded-Content-Length") != "" {
		return e.XML(http.StatusNotImplemented, objectError{Code: "NotImplemented", Message: "A chunked upload is not emulated.", Key: e.Param("*")})
	}
	body, err := io.ReadAll(e.Request().Body)
	if err != nil {
		return err
	}
	// The write takes effect even when its client has closed the connection.
	if err := o.store.PutObject(context.WithoutCancel(e.Request().Context()), objectKey(e), body); err != nil {
		return err
	}
	return e.NoContent(http.StatusOK)
}

func (o *Objects) remove(e echo.Context) error {
	if err := o.store.DeleteObject(context.WithoutCancel(e.Request().Context()), objectKey(e)); err != nil {
		return err
	}
	return e.NoContent(http.StatusNoContent)
}
