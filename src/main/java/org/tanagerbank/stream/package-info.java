/** Which software began the streams that callers may take up at another instance. */
package org.tanagerbank.stream;
