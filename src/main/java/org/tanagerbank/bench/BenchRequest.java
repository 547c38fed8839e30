package org.tanagerbank.bench;

import org.tanagerbank.request.ChatKey;

/**
 * The request of one turn of a chat as it arrives at an entry.
 *
 * @param atMicros the simulated arrival time in microseconds
 * @param entry the index of the entry
 * @param workspace the name of the workspace
 * @param chat the index of the chat
 * @param key the chat's key
 * @param promptTokens the length in tokens of the prompt, which contains the earlier turns
 * @param outputTokens the length of the answer in tokens
 * @param hasEarlierTurns whether the prompt contains earlier turns
 */
record BenchRequest(
    long atMicros,
    int entry,
    String workspace,
    int chat,
    ChatKey key,
    int promptTokens,
    int outputTokens,
    boolean hasEarlierTurns) {}
