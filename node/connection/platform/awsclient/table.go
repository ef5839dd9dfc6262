package awsclient

import (
	"context"
	"errors"
	"slices"
	"strconv"
	"strings"

	"github.com/aws/aws-sdk-go-v2/aws"
	"github.com/aws/aws-sdk-go-v2/service/dynamodb"
	"github.com/aws/aws-sdk-go-v2/service/dynamodb/types"
	"github.com/google/uuid"

	"github.com/radishstand/radishstand/node/connection/platform"
	"github.com/radishstand/radishstand/node/connection/platform/rowformat"
)

// Transact implements platform.Table. If the outcome is unknown, for example because the connection broke, it resends the
// transaction with the same request token, which the service applies at most once.
func (c *Client) Transact(ctx context.Context, writes ...platform.Write) error {
	if err := platform.ValidateWrites(writes); err != nil {
		return err
	}
	input := &dynamodb.TransactWriteItemsInput{
		ClientRequestToken: aws.String(uuid.NewString()),
		TransactItems:      make([]types.TransactWriteItem, len(writes)),
	}
	for i, w := range writes {
		input.TransactItems[i] = c.transactItem(w)
	}
	ambiguous := false
	for resends := 0; ; resends++ {
		traced, sent := withSendTrace(ctx)
		_, err := c.table.TransactWriteItems(traced, input)
		if err == nil {
			return nil
		}
		err = writeError(err, sent.Load())
		if ambiguous && !errors.Is(err, platform.ErrOutcomeUnknown) {
			// A rejected resend does not show that the first request failed. It may still take effect.
			err = wrap(platform.ErrOutcomeUnknown, err)
		}
		ambiguous = errors.Is(err, platform.ErrOutcomeUnknown)
		if !ambiguous || resends >= c.config.Resends || ctx.Err() != nil {
			return err
		}
	}
}

func (c *Client) transactItem(w platform.Write) types.TransactWriteItem {
	condition := newCondition(w.Condition)
	table := &c.config.Table
	switch w.Kind {
	case platform.Delete:
		return types.TransactWriteItem{Delete: &types.Delete{
			TableName: table, Key: keyAttributes(w.Item.Key), ConditionExpression: condition.expression,
			ExpressionAttributeNames: condition.names, ExpressionAttributeValues: condition.values,
		}}
	case platform.Check:
		return types.TransactWriteItem{ConditionCheck: &types.ConditionCheck{
			TableName: table, Key: keyAttributes(w.Item.Key), ConditionExpression: condition.expression,
			ExpressionAttributeNames: condition.names, ExpressionAttributeValues: condition.values,
		}}
	default:
		return types.TransactWriteItem{Put: &types.Put{
			TableName: table, Item: itemAttributes(w.Item), ConditionExpression: condition.expression,
			ExpressionAttributeNames: condition.names, ExpressionAttributeValues: condition.values,
		}}
	}
}

// condition is a condition expression of the table service with the values of its placeholders.
type condition struct {
	expression *string
	names      map[string]string
	values     attributes
}

func newCondition(c platform.Condition) condition {
	if c.Absent {
		return condition{aws.String(rowformat.Absent), map[string]string{"#p": rowformat.Partition}, nil}
	}
	if len(c.Equal) == 0 {
		// A check requires an expression, so a condition that always holds is sent as one.
		return condition{aws.String(rowformat.Always), map[string]string{"#p": rowformat.Partition}, nil}
	}
	names, values := map[string]string{}, attributes{}
	var terms []string
	for name, value := range c.Equal {
		i := strconv.Itoa(len(terms))
		names["#n"+i], values[":v"+i] = rowformat.NumberPrefix+name, numberAttribute(value)
		terms = append(terms, "#n"+i+rowformat.Equal+":v"+i)
	}
	return condition{aws.String(strings.Join(terms, rowformat.And)), names, values}
}

// Get implements platform.Table.
func (c *Client) Get(ctx context.Context, key platform.Key) (platform.Item, error) {
	if err := platform.ValidateKey(key); err != nil {
		return platform.Item{}, err
	}
	output, err := c.table.GetItem(ctx, &dynamodb.GetItemInput{
		TableName: &c.config.Table, Key: keyAttributes(key), ConsistentRead: aws.Bool(true),
	})
	if err != nil {
		return platform.Item{}, readError(err)
	}
	if len(output.Item) == 0 {
		return platform.Item{}, platform.ErrNotFound
	}
	return itemFromRow(output.Item)
}

// Query implements platform.Table. The service limits a page to 1 MB, so a query may need several requests.
func (c *Client) Query(ctx context.Context, partition, from string, limit int) ([]platform.Item, error) {
	if err := platform.ValidateQuery(partition, from, limit); err != nil {
		return nil, err
	}
	input := &dynamodb.QueryInput{
		TableName: &c.config.Table, ConsistentRead: aws.Bool(true), ScanIndexForward: aws.Bool(true),
		KeyConditionExpression:   aws.String(rowformat.PartitionRange),
		ExpressionAttributeNames: map[string]string{"#p": rowformat.Partition, "#s": rowformat.Sort},
		ExpressionAttributeValues: attributes{
			":p": &types.AttributeValueMemberS{Value: partition},
			":s": &types.AttributeValueMemberS{Value: rowformat.SortPrefix + from},
		},
	}
	var items []platform.Item
	for {
		input.Limit = aws.Int32(int32(min(limit-len(items), maxPageItems)))
		output, err := c.table.Query(ctx, input)
		if err != nil {
			return nil, readError(err)
		}
		items = slices.Grow(items, len(output.Items))
		for _, row := range output.Items {
			item, err := itemFromRow(row)
			if err != nil {
				return nil, err
			}
			items = append(items, item)
		}
		if len(output.LastEvaluatedKey) == 0 || len(items) >= limit {
			return items, nil
		}
		input.ExclusiveStartKey = output.LastEvaluatedKey
	}
}

// maxPageItems is the maximum limit of one request, which is sent as a 32-bit number.
const maxPageItems = 1 << 20
