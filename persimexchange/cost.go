package persimexchange

import (
	"google.golang.org/protobuf/encoding/protowire"
	"google.golang.org/protobuf/reflect/protoreflect"

	"persimmonport.example/persimwire"
)

const (
	// plainMessageBytes is the size up to which a message is decoded without a look at its parts.
	plainMessageBytes = 16 << 10
	// partBytes is the memory that a part of a decoded message takes besides its content: the
	// struct of a submessage or an entry of a map and what refers to it. TestDecodedBytes measures it.
	partBytes = 192
	// scalarBytes is the memory of one value of a repeated number.
	scalarBytes = 8
)

var exchangeDescriptor = (*persimwire.Exchange)(nil).ProtoReflect().Descriptor()

// decodedBytes returns the memory that a message takes once it is decoded, at most. Parts that take
// two bytes in a message may take some hundred then.
func decodedBytes(descriptor protoreflect.MessageDescriptor, data []byte) int64 {
	total := int64(0)
	for len(data) > 0 {
		number, kind, n := protowire.ConsumeTag(data)
		if n < 0 {
			break // Decoding fails as well.
		}
		data = data[n:]
		n = protowire.ConsumeFieldValue(number, kind, data)
		if n < 0 {
			break
		}
		total += fieldBytes(descriptor.Fields().ByNumber(number), kind, data[:n])
		data = data[n:]
	}
	return total
}

// fieldBytes returns the memory that the value of a field takes; field is nil for an unknown one.
func fieldBytes(field protoreflect.FieldDescriptor, kind protowire.Type, value []byte) int64 {
	switch {
	case field == nil || kind != protowire.BytesType:
		return int64(len(value)) + scalarBytes
	case field.Kind() == protoreflect.MessageKind:
		content, n := protowire.ConsumeBytes(value)
		if n < 0 {
			return 0
		}
		return partBytes + decodedBytes(field.Message(), content)
	case field.IsPacked():
		return int64(len(value)) * scalarBytes
	default:
		return int64(len(value)) + partBytes/4
	}
}
