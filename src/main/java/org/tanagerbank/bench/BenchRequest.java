package org.tanagerbank.bench;

import org.tanagerbank.contract.ChatKey;

/**
 * One turn of a chat as it arrives at an entry.
 *
 * @param atMicros the arrival time
 * @param entry the index of the entry
 * @param workspace the name of the workspace
 * @param chat the index of the chat
 * @param key the chat's key
 * @param promptTokens the length of the prompt, which contains the earlier turns
 * @param outputTokens the length of the answer
 * @param returning whether the prompt has earlier turns
 */
record BenchRequest(
    long atMicros,
    int entry,
    String workspace,
    int chat,
    ChatKey key,
    int promptTokens,
    int outputTokens,
    boolean returning) {}
