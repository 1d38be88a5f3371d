package main

import (
	"bytes"
	"context"
	"encoding/json"
	"errors"
	"fmt"
	"io"
	"net/http"

	"slatemux/internal/configsync"
	"slatemux/internal/fleet"
	"slatemux/internal/ops"
)

// replicationConfig is what the settings say of the replication of the fleet's configuration; nil where it is off.
func replicationConfig(cfg *config) *fleet.ConfigurationConfig {
	replicated := cfg.gateway.Fleet.Configuration
	if !cfg.gateway.Fleet.Enabled || !replicated.Enabled {
		return nil
	}
	zone := replicated.Zone
	if zone == "" {
		zone = cfg.settings.Zone
	}
	return &fleet.ConfigurationConfig{
		TrustedKeyFile: replicated.TrustedKeyFile,
		Region:         replicated.Region,
		Zone:           zone,
		MaxEntries:     replicated.MaxEntries,
		MaxFileBytes:   cfg.resourceLimits().configurationBytes,
		Replication:    replicated.Replication,
	}
}

// Configure hands a signed change to the fleet's configuration.
func (h *opsHandler) Configure(ctx context.Context, body []byte) error {
	if !h.ready.Load() || h.fleet == nil {
		return &ops.Refusal{Status: http.StatusServiceUnavailable, Reason: fleet.ErrConfigurationOff}
	}
	change, err := decodeChange(body)
	if err != nil {
		return &ops.Refusal{Status: http.StatusBadRequest, Reason: err}
	}
	if err := h.fleet.Configure(ctx, change); err != nil {
		return &ops.Refusal{Status: configurationStatus(err), Reason: err}
	}
	return nil
}

// decodeChange reads a change; what is no change, or more than one, is an error.
func decodeChange(body []byte) (configsync.Change, error) {
	decoder := json.NewDecoder(bytes.NewReader(body))
	decoder.DisallowUnknownFields()
	var change fleet.ConfigurationChange
	if err := decoder.Decode(&change); err != nil {
		return configsync.Change{}, fmt.Errorf("not a configuration change: %w", err)
	}
	if _, err := decoder.Token(); !errors.Is(err, io.EOF) {
		return configsync.Change{}, errors.New("not a configuration change: something follows it")
	}
	return change.Change(), nil
}

// configurationStatus is the status that tells why a change was not taken.
func configurationStatus(err error) int {
	switch {
	case errors.Is(err, configsync.ErrInvalid):
		return http.StatusBadRequest
	case errors.Is(err, configsync.ErrUntrusted):
		return http.StatusForbidden
	case errors.Is(err, fleet.ErrConfigurationConflict):
		return http.StatusConflict
	}
	return http.StatusServiceUnavailable
}
