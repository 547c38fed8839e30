package org.tanagerbank.stream;

import org.tanagerbank.upstream.UpstreamReport;

/**
 * The software that wrote the first event of a stream. What two versions write does not fit
 * together, so the stream may go on only at upstreams of the same service and version. Immutable.
 *
 * @param service the name of the service
 * @param softwareVersion the version of the software of its upstreams
 */
public record StreamOrigin(String service, String softwareVersion) {
  /** Returns the origin of the streams that an upstream begins. */
  public static StreamOrigin of(UpstreamReport upstream) {
    return new StreamOrigin(upstream.service(), upstream.softwareVersion());
  }
}
