package org.tanagerbank.adoption;

import org.tanagerbank.declaration.Declaration;

/**
 * A configuration in force.
 *
 * <p>Immutable and thread-safe.
 *
 * @param revision the log offset of the accepted record
 * @param publishId the id the publisher gave to the record
 * @param text the declaration as published
 * @param declaration the text in parsed form
 */
public record AdoptedConfig(
    long revision, String publishId, String text, Declaration declaration) {}
