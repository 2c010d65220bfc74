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
	// Seed of the random numbers for faults with a rate.
	Seed uint64
}

// Objects emulates an S3 object store with path-style URLs, /objects/BUCKET/KEY. Objects persist across crashes.
type Objects struct {
	*faultInjector

	store *storer.MemoryPlatform
}

// NewObjects returns an empty object store.
func NewObjects(c ObjectsConfig) *Objects {
	return &Objects{faultInjector: newFaultInjector(c.Seed, isWriteMethod, nil), store: storer.NewMemoryPlatform()}
}

// Handler serves the objects under /objects, the faults and the request log.
func (o *Objects) Handler() http.Handler {
	e := newEcho()
	o.register(e)
	o.registerFaultRoutes(e, faultsPath)
	o.registerRequestLog(e)
	return e
}

func (o *Objects) register(e *echo.Echo) {
	e.GET("/objects/:bucket/*", o.getObject, o.withFaults)
	e.HEAD("/objects/:bucket/*", o.getObject, o.withFaults)
	e.PUT("/objects/:bucket/*", o.putObject, o.withFaults)
	e.DELETE("/objects/:bucket/*", o.deleteObject, o.withFaults)
}

func objectKey(e echo.Context) string { return e.Param("bucket") + "/" + e.Param("*") }

// objectError is an error response of the object store.
type objectError struct {
	XMLName xml.Name `xml:"Error"`
	Code    string
	Message string
	Key     string
}

func (o *Objects) getObject(e echo.Context) error {
	body, err := o.store.GetObject(e.Request().Context(), objectKey(e))
	if storer.IsKind(err, storer.NotFound) {
		return e.XML(http.StatusNotFound, objectError{Code: "NoSuchKey", Message: "The specified key does not exist.", Key: e.Param("*")})
	}
	if err != nil {
		return err
	}
	return e.Blob(http.StatusOK, echo.MIMEOctetStream, body)
}

func (o *Objects) putObject(e echo.Context) error {
	if e.Request().Header.Get("X-Amz-Decoded-Content-Length") != "" {
		return e.XML(http.StatusNotImplemented, objectError{Code: "NotImplemented", Message: "A chunked upload is not emulated.", Key: e.Param("*")})
	}
	body, err := io.ReadAll(e.Request().Body)
	if err != nil {
		return err
	}
	// The write takes effect even if the client has closed the connection.
	if err := o.store.PutObject(context.WithoutCancel(e.Request().Context()), objectKey(e), body); err != nil {
		return err
	}
	return e.NoContent(http.StatusOK)
}

func (o *Objects) deleteObject(e echo.Context) error {
	if err := o.store.DeleteObject(context.WithoutCancel(e.Request().Context()), objectKey(e)); err != nil {
		return err
	}
	return e.NoContent(http.StatusNoContent)
}
