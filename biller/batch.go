package biller

import (
	"bytes"
	"compress/gzip"
	"encoding/json"
	"errors"
	"fmt"
	"io"
)

// maxBatchBytes bounds a decoded batch; 512 bills of 2 KB each are far below it.
const maxBatchBytes = 16 << 20

var errBatchTooLarge = errors.New("biller: decoded batch exceeds 16 MB")

// EncodeBatch returns the stored form of a batch: a JSON string with the gzip-compressed bills in base64.
func EncodeBatch(batch []Bill) ([]byte, error) {
	var buf bytes.Buffer
	gz, err := gzip.NewWriterLevel(&buf, gzip.BestCompression)
	if err != nil {
		return nil, fmt.Errorf("biller: compress batch: %w", err)
	}
	if err := json.NewEncoder(gz).Encode(batch); err != nil {
		return nil, fmt.Errorf("biller: encode batch: %w", err)
	}
	if err := gz.Close(); err != nil {
		return nil, fmt.Errorf("biller: compress batch: %w", err)
	}
	return json.Marshal(buf.Bytes())
}

// DecodeBatch returns the bills of a batch. It also reads the uncompressed JSON arrays that earlier versions of the program
// wrote.
func DecodeBatch(value []byte) ([]Bill, error) {
	var list []Bill
	if value = bytes.TrimSpace(value); len(value) > 0 && value[0] == '[' {
		if err := json.Unmarshal(value, &list); err != nil {
			return nil, fmt.Errorf("biller: decode uncompressed batch: %w", err)
		}
		return list, nil
	}
	var compressed []byte
	if err := json.Unmarshal(value, &compressed); err != nil {
		return nil, fmt.Errorf("biller: decode batch: %w", err)
	}
	gz, err := gzip.NewReader(bytes.NewReader(compressed))
	if err != nil {
		return nil, fmt.Errorf("biller: decompress batch: %w", err)
	}
	// ReadAll verifies the checksum at the end of the data.
	plain, err := io.ReadAll(io.LimitReader(gz, maxBatchBytes+1))
	if err != nil {
		return nil, fmt.Errorf("biller: decompress batch: %w", err)
	}
	if len(plain) > maxBatchBytes {
		return nil, errBatchTooLarge
	}
	if err := json.Unmarshal(plain, &list); err != nil {
		return nil, fmt.Errorf("biller: decode batch: %w", err)
	}
	return list, nil
}
