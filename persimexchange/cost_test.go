package persimexchange

import (
	"bytes"
	"runtime"
	"strconv"
	"testing"

	"github.com/stretchr/testify/require"
	"google.golang.org/protobuf/encoding/protowire"
	"google.golang.org/protobuf/proto"
	"google.golang.org/protobuf/reflect/protoreflect"

	"persimmonport.example/persimwire"
)

// smallParts returns a message of a size that consists of parts of one field, each as small as it
// can be, or nil if the field has no parts.
func smallParts(field protoreflect.FieldDescriptor, size int) []byte {
	var data []byte
	for i := uint64(0); len(data) < size; i++ {
		var content []byte
		switch {
		case field.IsMap():
			key := strconv.FormatUint(i, 36)
			content = protowire.AppendString(protowire.AppendTag(nil, 1, protowire.BytesType), key)
		case !field.IsList() || field.Kind() != protoreflect.MessageKind:
			return nil
		}
		data = protowire.AppendTag(data, field.Number(), protowire.BytesType)
		data = protowire.AppendBytes(data, content)
	}
	return data
}

// nestedParts returns messages of a size whose submessages consist of small parts, by the path of
// fields.
func nestedParts(descriptor protoreflect.MessageDescriptor, size, depth int) map[string][]byte {
	messages := map[string][]byte{}
	for i := range descriptor.Fields().Len() {
		field := descriptor.Fields().Get(i)
		if data := smallParts(field, size); data != nil {
			messages[string(field.Name())] = data
		}
		if field.Kind() != protoreflect.MessageKind || field.IsMap() || depth == 0 {
			continue
		}
		for name, content := range nestedParts(field.Message(), size, depth-1) {
			data := protowire.AppendTag(nil, field.Number(), protowire.BytesType)
			messages[string(field.Name())+"."+name] = protowire.AppendBytes(data, content)
		}
	}
	return messages
}

// TestDecodedBytes guards against messages of very many small parts, which take many times their
// size once they are decoded: what is reserved covers it, and a host refuses the largest ones.
func TestDecodedBytes(t *testing.T) {
	const size = 1 << 20
	messages := nestedParts(exchangeDescriptor, size, 2)
	require.NotEmpty(t, messages)
	for name, data := range messages {
		t.Run(name, func(t *testing.T) {
			before := heapBytes()
			message := &persimwire.Exchange{}
			require.NoError(t, proto.Unmarshal(data, message))
			took := int64(heapBytes()) - int64(before)
			runtime.KeepAlive(message)
			runtime.KeepAlive(data)
			reserved := decodedBytes(exchangeDescriptor, data)
			t.Logf("%d KB take %d, %d are reserved", len(data)>>10, took>>10, reserved>>10)
			require.LessOrEqual(t, took, reserved)
			_, release, err := readMessage(bytes.NewReader(data), newReadMemory().forConn())
			if reserved > maxConnReadBytes {
				require.ErrorIs(t, err, errMemoryFull)
				return
			}
			require.NoError(t, err)
			release()
		})
	}
}

// FuzzDecodedBytes guards against a scan that doesn't end or reads beyond a message.
func FuzzDecodedBytes(f *testing.F) {
	whole, err := proto.Marshal(&persimwire.Exchange{Host: "a", Loads: []*persimwire.UpstreamLoad{{}, {}}, Admitted: map[string]float64{"a": 1}})
	require.NoError(f, err)
	f.Add(whole)
	f.Add([]byte{0x32, 0xff, 0xff})
	f.Fuzz(func(t *testing.T, data []byte) {
		require.GreaterOrEqual(t, decodedBytes(exchangeDescriptor, data), int64(0))
	})
}
