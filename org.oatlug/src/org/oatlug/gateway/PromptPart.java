package org.oatlug.gateway;

/**
 * A part of a prompt that engines may have cached. Immutable.
 *
 * @param hash the hash of the part
 * @param tokens its length in tokens
 */
public record PromptPart(long hash, int tokens) {}
