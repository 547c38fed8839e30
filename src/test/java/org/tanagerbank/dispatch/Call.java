package org.tanagerbank.dispatch;

import static java.nio.charset.StandardCharsets.ISO_8859_1;

import com.google.common.collect.ImmutableList;
import io.netty.buffer.ByteBuf;
import io.netty.buffer.Unpooled;
import io.netty.handler.codec.http.DefaultHttpHeaders;
import io.netty.handler.codec.http.HttpHeaders;
import io.netty.handler.codec.http.HttpMethod;
import java.util.Map;
import org.tanagerbank.caller.CallerExchange;
import org.tanagerbank.caller.CallerRequest;

/** A request of a caller and the response to it. Not thread-safe. */
final class Call implements CallerExchange {
  final int gateway;
  final String id;
  final String path;
  final String body;
  final long sentAtMillis;
  int status;
  HttpHeaders headers = new DefaultHttpHeaders();
  private String text = "";
  boolean isEnded;
  private boolean isCutOff;
  private Runnable disconnectAction = () -> {};

  Call(int gateway, String id, String path, String body, long sentAtMillis) {
    this.gateway = gateway;
    this.id = id;
    this.path = path;
    this.body = body;
    this.sentAtMillis = sentAtMillis;
  }

  /** Returns the request as a gateway reads it, with further headers; an empty id is left out. */
  CallerRequest toRequest(Map<String, String> extra) {
    HttpHeaders sent = new DefaultHttpHeaders();
    sent.set("Host", "h");
    sent.set("Authorization", "Bearer key");
    if (!id.isEmpty()) {
      sent.set("Request-Id", id);
    }
    sent.set("Content-Length", body.length());
    extra.forEach(sent::set);
    return new CallerRequest(
        HttpMethod.POST, path, sent, Unpooled.copiedBuffer(body, ISO_8859_1), sentAtMillis);
  }

  @Override
  public String toString() {
    return id + " \"" + body + "\" at " + sentAtMillis + ": " + status + " " + text.trim();
  }

  /** Returns the body as far as the caller received it. */
  String text() {
    return text;
  }

  /** Returns the lines with the given field in the events that the caller received. */
  ImmutableList<String> eventFields(String field) {
    return text.lines()
        .filter(l -> l.startsWith(field + ": "))
        .map(l -> l.substring(field.length() + 2))
        .collect(ImmutableList.toImmutableList());
  }

  /** Returns whether the request was refused because it crashes upstreams. */
  boolean wasQuarantined() {
    return text.startsWith(Refusal.QUARANTINED) || text.startsWith(Refusal.ON_TRIAL);
  }

  @Override
  public void respond(int responseStatus, HttpHeaders responseHeaders, ByteBuf content) {
    text = content.toString(ISO_8859_1);
    content.release();
    status = responseStatus;
    headers = responseHeaders;
    isEnded = true;
  }

  @Override
  public void beginResponse(int responseStatus, HttpHeaders responseHeaders) {
    status = responseStatus;
  }

  @Override
  public void write(ByteBuf part) {
    text += isCutOff ? "" : part.toString(ISO_8859_1);
    part.release();
  }

  @Override
  public void endResponse() {
    isEnded = true;
  }

  @Override
  public void abort() {
    status = 0;
    isEnded = true;
  }

  @Override
  public boolean isWritable() {
    return true;
  }

  @Override
  public void onWritable(Runnable action) {}

  @Override
  public void onDisconnect(Runnable action) {
    disconnectAction = action;
  }

  /** Returns whether the gateway of the response has ended. */
  boolean wasCutOff() {
    return isCutOff;
  }

  /** Ends the response because its gateway has ended; what that one still writes is lost. */
  void cutOff() {
    isEnded = true;
    isCutOff = true;
  }

  /** Closes the caller's connection, unless the response is complete. */
  void leave() {
    if (!isEnded) {
      isEnded = true;
      disconnectAction.run();
    }
  }
}
