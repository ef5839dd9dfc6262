package awsclient

import (
	"fmt"
	"strconv"
	"strings"

	"github.com/aws/aws-sdk-go-v2/service/dynamodb/types"

	"github.com/radishstand/radishstand/node/connection/platform"
	"github.com/radishstand/radishstand/node/connection/platform/rowformat"
)

type attributes = map[string]types.AttributeValue

func keyAttributes(key platform.Key) attributes {
	return attributes{
		rowformat.Partition: &types.AttributeValueMemberS{Value: key.Partition},
		rowformat.Sort:      &types.AttributeValueMemberS{Value: rowformat.SortPrefix + key.Sort},
	}
}

func itemAttributes(item platform.Item) attributes {
	row := keyAttributes(item.Key)
	for name, value := range item.Numbers {
		row[rowformat.NumberPrefix+name] = numberAttribute(value)
	}
	if item.Data != nil {
		row[rowformat.Data] = &types.AttributeValueMemberB{Value: item.Data}
	}
	if item.ExpiresUnix != 0 {
		row[rowformat.Expires] = numberAttribute(item.ExpiresUnix)
	}
	return row
}

func numberAttribute(value int64) types.AttributeValue {
	return &types.AttributeValueMemberN{Value: strconv.FormatInt(value, 10)}
}

// itemFromRow converts a row to an item. A row with an attribute of an unexpected type was not written by this package.
func itemFromRow(row attributes) (platform.Item, error) {
	var item platform.Item
	for name, attribute := range row {
		ok := true
		switch {
		case name == rowformat.Partition:
			item.Key.Partition, ok = stringValue(attribute)
		case name == rowformat.Sort:
			item.Key.Sort, ok = stringValue(attribute)
			item.Key.Sort = strings.TrimPrefix(item.Key.Sort, rowformat.SortPrefix)
		case name == rowformat.Data:
			var data *types.AttributeValueMemberB
			if data, ok = attribute.(*types.AttributeValueMemberB); ok {
				item.Data = data.Value
			}
		case name == rowformat.Expires:
			item.ExpiresUnix, ok = integerValue(attribute)
		case strings.HasPrefix(name, rowformat.NumberPrefix):
			if item.Numbers == nil {
				item.Numbers = map[string]int64{}
			}
			item.Numbers[strings.TrimPrefix(name, rowformat.NumberPrefix)], ok = integerValue(attribute)
		}
		if !ok {
			return platform.Item{}, fmt.Errorf("%w: attribute %q of a row has an unexpected type", platform.ErrUnavailable, name)
		}
	}
	return item, nil
}

func stringValue(attribute types.AttributeValue) (string, bool) {
	s, ok := attribute.(*types.AttributeValueMemberS)
	if !ok {
		return "", false
	}
	return s.Value, true
}

func integerValue(attribute types.AttributeValue) (int64, bool) {
	n, ok := attribute.(*types.AttributeValueMemberN)
	if !ok {
		return 0, false
	}
	value, err := strconv.ParseInt(n.Value, 10, 64)
	return value, err == nil
}
