package emulator

import (
	"encoding/json"
	"strings"
)

func textHash(text string) uint64 { return extendHash(fnvOffset, text) }

func extendHash(hash uint64, text string) uint64 {
	for i := range len(text) {
		hash = (hash ^ uint64(text[i])) * fnvPrime
	}
	return hash
}

// tokenOf returns the word that follows a text with the given hash, with a space before it.
func tokenOf(hash uint64) string {
	// FNV-1a mixes the last bytes little, so the hash is mixed before it selects syllables.
	hash ^= hash >> 33
	hash *= 0xff51afd7ed558ccd
	hash ^= hash >> 33
	var word strings.Builder
	word.WriteByte(' ')
	for range syllables {
		word.WriteByte(consonants[hash%uint64(len(consonants))])
		hash /= uint64(len(consonants))
		word.WriteByte(vowels[hash%uint64(len(vowels))])
		hash /= uint64(len(vowels))
	}
	return word.String()
}

// Answer returns the first n tokens that an engine generates for a model and a prompt, joined.
func Answer(model, prompt string, n int) string {
	hash := extendHash(textHash(model+"\x00"), prompt)
	var answer strings.Builder
	for range n {
		token := tokenOf(hash)
		hash = extendHash(hash, token)
		answer.WriteString(token)
	}
	return answer.String()
}

// prefixBlocks returns a hash for each full block of the prompt that covers the model and all text up to its end.
func prefixBlocks(model string, words []string) []uint64 {
	var blocks []uint64
	hash := textHash(model)
	for len(words) >= blockTokens {
		hash = extendHash(hash, "\x00"+strings.Join(words[:blockTokens], " "))
		blocks = append(blocks, hash)
		words = words[blockTokens:]
	}
	return blocks
}

// promptText returns the text of a prompt, which is a string or a list.
func promptText(raw json.RawMessage) string {
	var text string
	if json.Unmarshal(raw, &text) == nil {
		return text
	}
	var list []string
	if json.Unmarshal(raw, &list) == nil {
		return strings.Join(list, "\n")
	}
	// A list of token numbers stands for itself.
	return string(raw)
}
