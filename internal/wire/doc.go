// Package wire holds the types of the messages between the processes and of the rows in the table service.
// They are generated from wire.yaml; run "make generate" after a change there.
package wire

//go:generate oapi-codegen -config oapi.yaml wire.yaml
