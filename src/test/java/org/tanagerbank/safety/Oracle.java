package org.tanagerbank.safety;

import com.google.protobuf.ByteString;
import java.util.ArrayList;
import java.util.List;
import java.util.Optional;
import org.tanagerbank.contract.RequestId;
import org.tanagerbank.contract.Verdict;

/** Records what engines executed and what callers were told, and finds contradictions. */
final class Oracle {
  /** One start of a request at an engine; the serial makes its answer differ from all others. */
  record Execution(int serial, RequestId request, Post.Ask ask) {
    /** Returns the answer that this execution gives. */
    ByteString answer() {
      String head = "[" + ask.body() + "." + serial + "]";
      return ByteString.copyFromUtf8(head.repeat(2 + ask.body() % 3));
    }
  }

  private final List<Execution> executions = new ArrayList<>();
  private final List<Post> posts = new ArrayList<>();

  Execution executed(RequestId request, Post.Ask ask) {
    Execution made = new Execution(executions.size() + 1, request, ask);
    executions.add(made);
    return made;
  }

  void posted(Post post) {
    posts.add(post);
  }

  List<Post> posts() {
    return posts;
  }

  /** Returns the first contradiction, if there is one. */
  Optional<String> violation() {
    return posts.stream().flatMap(post -> faultOf(post).stream()).findFirst();
  }

  private Optional<String> faultOf(Post post) {
    boolean keyed = !post.ask.key().isEmpty();
    long own = executions.stream().filter(e -> e.request().equals(post.id)).count();
    long ofKey = executions.stream().filter(e -> e.ask().key().equals(post.ask.key())).count();
    if (post.ask.nonIdempotent() && (keyed ? ofKey : own) > 1) {
      return fault(post, "ran " + (keyed ? ofKey : own) + " times");
    }
    boolean told = post.error != null && post.error.verdict() == Verdict.NOT_RUN;
    if (told && own > 0) {
      return fault(post, "was told NOT_RUN but ran");
    }
    // A key and a body stand for one request, however often it is sent.
    boolean bound = post.ask.binding() != Post.Binding.NONE;
    if (told && bound && executions.stream().anyMatch(e -> isSameRequest(e, post))) {
      return fault(post, "was told NOT_RUN but its key ran");
    }
    if (post.succeeded && executions.stream().noneMatch(e -> gives(e, post))) {
      return fault(post, "got " + post.received.toStringUtf8());
    }
    return Optional.empty();
  }

  private static boolean isSameRequest(Execution e, Post post) {
    return e.ask().key().equals(post.ask.key()) && e.ask().body() == post.ask.body();
  }

  private static boolean gives(Execution e, Post post) {
    boolean sameKey = e.ask().key().equals(post.ask.key());
    boolean own = e.request().equals(post.id) || (sameKey && !post.ask.key().isEmpty());
    return own && e.ask().body() == post.ask.body() && e.answer().equals(post.received);
  }

  private Optional<String> fault(Post post, String what) {
    return Optional.of(post + ": " + what + "; executions " + executions);
  }
}
