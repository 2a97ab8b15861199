package persimmonport

import (
	"testing"
	"testing/synctest"
	"time"

	"github.com/stretchr/testify/require"

	"persimmonport.example/persimstand"
)

func TestModelRequest(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		d := newDeployment(t, defaultDeploymentConfig())
		defer d.close()
		d.waitReady()
		r := d.readStream(0, "match len=50", time.Minute)
		require.True(t, r.complete())
		require.Equal(t, persimstand.Answer("match len=50", 50), r.text.String())
		require.Zero(t, r.resumes)
	})
}
