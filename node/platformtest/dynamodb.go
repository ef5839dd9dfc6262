package platformtest

import (
	"encoding/json"
	"errors"
	"fmt"
	"net/http"
	"strconv"
	"strings"

	"github.com/radishstand/radishstand/node/connection/platform"
	"github.com/radishstand/radishstand/node/connection/platform/rowformat"
)

const (
	targetPrefix = "DynamoDB_20120810."
	errorPrefix  = "com.amazonaws.dynamodb.v20120810#"
)

// attribute is a typed attribute value of the protocol. Only the types that the client uses are supported.
type attribute struct {
	S *string `json:"S,omitempty"`
	N *string `json:"N,omitempty"`
	B *[]byte `json:"B,omitempty"`
}

type row map[string]attribute

type expression struct {
	ConditionExpression       string
	ExpressionAttributeNames  map[string]string
	ExpressionAttributeValues row
}

type transactRequest struct {
	ClientRequestToken string
	TransactItems      []struct {
		Put *struct {
			Item row
			expression
		}
		Delete, ConditionCheck *struct {
			Key row
			expression
		}
	}
}

type getRequest struct {
	Key row
}

type getAnswer struct {
	Item row `json:",omitempty"`
}

type queryRequest struct {
	Limit                     int
	KeyConditionExpression    string
	ExpressionAttributeNames  map[string]string
	ExpressionAttributeValues row
	ExclusiveStartKey         row
}

type queryAnswer struct {
	Items            []row
	Count            int
	LastEvaluatedKey row `json:",omitempty"`
}

type reason struct{ Code string }

type tableError struct {
	Type    string   `json:"__type"`
	Message string   `json:"message"`
	Reasons []reason `json:"CancellationReasons,omitempty"`
}

func (e *tableError) Error() string { return e.Message }

func invalid(format string, args ...any) error {
	return &tableError{Type: "com.amazon.coral.validate#ValidationException", Message: fmt.Sprintf(format, args...)}
}

func (s *Server) serveTable(w http.ResponseWriter, r *http.Request, operation string) {
	decoder := json.NewDecoder(r.Body)
	switch operation {
	case "TransactWriteItems":
		var request transactRequest
		writes, err := request.decode(decoder)
		if err != nil {
			replyTable(w, nil, err)
			return
		}
		s.run(w, r, Operation{Name: "Transact", Writes: writes}, replyTable, func() (any, error) {
			return struct{}{}, s.memory.apply(request.ClientRequestToken, writes)
		})
	case "GetItem":
		var request getRequest
		if err := decoder.Decode(&request); err != nil {
			replyTable(w, nil, invalid("%v", err))
			return
		}
		s.run(w, r, Operation{Name: "Get"}, replyTable, func() (any, error) { return s.getRow(request.Key) })
	case "Query":
		var request queryRequest
		if err := decoder.Decode(&request); err != nil {
			replyTable(w, nil, invalid("%v", err))
			return
		}
		s.run(w, r, Operation{Name: "Query"}, replyTable, func() (any, error) { return s.queryRows(request) })
	default:
		replyTable(w, nil, &tableError{Type: "UnknownOperationException", Message: operation})
	}
}

func replyTable(w http.ResponseWriter, body any, err error) {
	status := http.StatusOK
	if err != nil {
		status = http.StatusBadRequest
		body = tableErrorOf(err)
	}
	w.Header().Set("Content-Type", "application/x-amz-json-1.0")
	w.WriteHeader(status)
	_ = json.NewEncoder(w).Encode(body)
}

func tableErrorOf(err error) *tableError {
	var known *tableError
	switch {
	case errors.As(err, &known):
		return known
	case errors.Is(err, errDown):
		return &tableError{Type: errorPrefix + "ThrottlingException", Message: err.Error()}
	case errors.Is(err, platform.ErrCondition):
		return &tableError{
			Type: errorPrefix + "TransactionCanceledException", Message: "Transaction cancelled",
			Reasons: []reason{{Code: "ConditionalCheckFailed"}},
		}
	default:
		return &tableError{Type: errorPrefix + "ValidationException", Message: err.Error()}
	}
}

func (request *transactRequest) decode(decoder *json.Decoder) ([]platform.Write, error) {
	if err := decoder.Decode(request); err != nil {
		return nil, invalid("%v", err)
	}
	var writes []platform.Write
	for _, item := range request.TransactItems {
		var w platform.Write
		var err error
		var expr expression
		switch {
		case item.Put != nil:
			w.Kind, expr = platform.Put, item.Put.expression
			w.Item, err = itemOf(item.Put.Item)
		case item.Delete != nil:
			w.Kind, expr = platform.Delete, item.Delete.expression
			w.Item, err = itemOf(item.Delete.Key)
		case item.ConditionCheck != nil:
			w.Kind, expr = platform.Check, item.ConditionCheck.expression
			w.Item, err = itemOf(item.ConditionCheck.Key)
		default:
			err = invalid("transaction item without a known operation")
		}
		if err == nil {
			w.Condition, err = expr.condition()
		}
		if err != nil {
			return nil, err
		}
		writes = append(writes, w)
	}
	return writes, platform.ValidateWrites(writes)
}

// condition parses the three forms of condition expressions that the client sends.
func (e expression) condition() (platform.Condition, error) {
	var c platform.Condition
	switch e.ConditionExpression {
	case "":
		return c, nil
	case rowformat.Absent, rowformat.Always:
		if e.ExpressionAttributeNames["#p"] != rowformat.Partition {
			return c, invalid("condition on an unknown attribute")
		}
		c.Absent = e.ConditionExpression == rowformat.Absent
		return c, nil
	}
	c.Equal = map[string]int64{}
	for _, term := range strings.Split(e.ConditionExpression, rowformat.And) {
		placeholder, value, found := strings.Cut(term, rowformat.Equal)
		name, isNumber := strings.CutPrefix(e.ExpressionAttributeNames[placeholder], rowformat.NumberPrefix)
		n, ok := e.ExpressionAttributeValues[value].integer()
		if !found || !isNumber || !ok {
			return c, invalid("unsupported condition %q", e.ConditionExpression)
		}
		c.Equal[name] = n
	}
	return c, nil
}

func (s *Server) getRow(key row) (any, error) {
	item, err := itemOf(key)
	if err != nil {
		return nil, err
	}
	item, err = s.memory.get(item.Key)
	if errors.Is(err, platform.ErrNotFound) {
		return getAnswer{}, nil
	}
	return getAnswer{Item: rowOf(item)}, err
}

// maxPageItems is the page size of a query. It is small, so that clients must follow several pages.
const maxPageItems = 100

func (s *Server) queryRows(q queryRequest) (any, error) {
	partition, from := q.ExpressionAttributeValues[":p"].S, q.ExpressionAttributeValues[":s"].S
	if q.KeyConditionExpression != rowformat.PartitionRange || partition == nil || from == nil ||
		q.ExpressionAttributeNames["#p"] != rowformat.Partition || q.ExpressionAttributeNames["#s"] != rowformat.Sort {
		return nil, invalid("unsupported query %q", q.KeyConditionExpression)
	}
	sort := strings.TrimPrefix(*from, rowformat.SortPrefix)
	if q.ExclusiveStartKey != nil {
		start, err := itemOf(q.ExclusiveStartKey)
		if err != nil {
			return nil, err
		}
		sort = start.Key.Sort + "\x00"
	}
	if q.Limit < 1 {
		return nil, invalid("limit %d", q.Limit)
	}
	page := min(q.Limit, maxPageItems)
	items := s.memory.query(*partition, sort, page)
	answer := queryAnswer{Items: []row{}, Count: len(items)}
	for _, item := range items {
		answer.Items = append(answer.Items, rowOf(item))
	}
	if len(items) == page {
		// As in DynamoDB, a full page refers to a next page even if no items are left.
		answer.LastEvaluatedKey = rowOf(platform.Item{Key: items[page-1].Key})
	}
	return answer, nil
}

func (a attribute) integer() (int64, bool) {
	if a.N == nil {
		return 0, false
	}
	n, err := strconv.ParseInt(*a.N, 10, 64)
	return n, err == nil
}

func rowOf(item platform.Item) row {
	sort := rowformat.SortPrefix + item.Key.Sort
	r := row{rowformat.Partition: {S: &item.Key.Partition}, rowformat.Sort: {S: &sort}}
	for name, n := range item.Numbers {
		r[rowformat.NumberPrefix+name] = numberOf(n)
	}
	if item.Data != nil {
		r[rowformat.Data] = attribute{B: &item.Data}
	}
	if item.ExpiresUnix != 0 {
		r[rowformat.Expires] = numberOf(item.ExpiresUnix)
	}
	return r
}

func numberOf(n int64) attribute {
	text := strconv.FormatInt(n, 10)
	return attribute{N: &text}
}

func itemOf(r row) (platform.Item, error) {
	var item platform.Item
	partition, sort := r[rowformat.Partition].S, r[rowformat.Sort].S
	if partition == nil || sort == nil || !strings.HasPrefix(*sort, rowformat.SortPrefix) {
		return item, invalid("row without keys")
	}
	item.Key = platform.Key{Partition: *partition, Sort: strings.TrimPrefix(*sort, rowformat.SortPrefix)}
	for name, a := range r {
		number, isNumber := strings.CutPrefix(name, rowformat.NumberPrefix)
		n, ok := a.integer()
		switch {
		case name == rowformat.Data && a.B != nil:
			item.Data = *a.B
		case name == rowformat.Expires && ok:
			item.ExpiresUnix = n
		case isNumber && ok:
			if item.Numbers == nil {
				item.Numbers = map[string]int64{}
			}
			item.Numbers[number] = n
		case name != rowformat.Partition && name != rowformat.Sort:
			return item, invalid("unsupported attribute %q", name)
		}
	}
	return item, nil
}
