package org.tanagerbank.configreplica;

import org.tanagerbank.declaration.Declaration;

/**
 * A configuration that this process has adopted.
 *
 * <p>Immutable and thread-safe.
 *
 * @param revision the offset of the accepted Publish record, at least 1
 * @param publishId the publish id of that record
 * @param text the declaration as published
 * @param declaration the parsed text
 */
public record AdoptedConfig(
    long revision, String publishId, String text, Declaration declaration) {}
