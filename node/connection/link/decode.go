package link

import (
	"errors"

	"google.golang.org/protobuf/encoding/protowire"
	"google.golang.org/protobuf/proto"

	"github.com/radishstand/radishstand/api/linkpb"
)

// minAliasedBytes is the size from which the body in a received frame is not copied.
const minAliasedBytes = 64 << 10

// Field numbers of the bodies in link.proto.
const (
	frameStreamField = 1
	frameCallField   = 3
	frameAnswerField = 4
	callBodyField    = 6
	answerBodyField  = 3
)

var errMalformedFrame = errors.New("malformed frame")

// decodeFrame decodes a frame. A large body is not copied out of the encoded frame, so that it takes its memory once.
func decodeFrame(encoded []byte) (*linkpb.Frame, error) {
	f := &linkpb.Frame{}
	if len(encoded) < minAliasedBytes {
		return f, proto.Unmarshal(encoded, f)
	}
	rest, body, err := cutBody(encoded)
	if err != nil {
		return nil, err
	}
	if err := proto.Unmarshal(rest, f); err != nil {
		return nil, err
	}
	switch message := f.Body.(type) {
	case *linkpb.Frame_Call:
		message.Call.Body = body
	case *linkpb.Frame_Answer:
		message.Answer.Body = body
	}
	return f, nil
}

// cutBody returns an encoded frame without the body of its call or answer, and that body.
func cutBody(encoded []byte) (rest, body []byte, err error) {
	err = eachField(encoded, func(number protowire.Number, field, value []byte) error {
		bodyField := protowire.Number(0)
		switch number {
		case frameCallField:
			bodyField = callBodyField
		case frameAnswerField:
			bodyField = answerBodyField
		default:
			rest = append(rest, field...)
			return nil
		}
		var message []byte
		err := eachField(value, func(number protowire.Number, field, value []byte) error {
			if number == bodyField {
				body = value[:len(value):len(value)]
			} else {
				message = append(message, field...)
			}
			return nil
		})
		rest = protowire.AppendTag(rest, number, protowire.BytesType)
		rest = protowire.AppendBytes(rest, message)
		return err
	})
	return rest, body, err
}

// eachField calls f with each field of an encoded message: its number, its encoding and, if it has a length, its value.
func eachField(encoded []byte, f func(number protowire.Number, field, value []byte) error) error {
	for len(encoded) > 0 {
		number, kind, tagLength := protowire.ConsumeTag(encoded)
		if tagLength < 0 {
			return errMalformedFrame
		}
		valueLength := protowire.ConsumeFieldValue(number, kind, encoded[tagLength:])
		if valueLength < 0 {
			return errMalformedFrame
		}
		field := encoded[:tagLength+valueLength]
		var value []byte
		if kind == protowire.BytesType {
			value, _ = protowire.ConsumeBytes(field[tagLength:])
		}
		if err := f(number, field, value); err != nil {
			return err
		}
		encoded = encoded[len(field):]
	}
	return nil
}

// streamOf returns the stream of a frame of which the first bytes are given, or 0 if it belongs to the link.
func streamOf(start []byte) uint64 {
	number, kind, length := protowire.ConsumeTag(start)
	if length < 0 || number != frameStreamField || kind != protowire.VarintType {
		return 0
	}
	stream, length := protowire.ConsumeVarint(start[length:])
	if length < 0 {
		return 0
	}
	return stream
}
