package lupinwood.admission;

import java.util.Map;
import java.util.function.Consumer;

/**
 * Delegates to another policy, and informs a test of each request before it is admitted and of the
 * end of each round of decisions.
 *
 * @param node the policy that decides
 * @param taken receives each request before it is admitted
 * @param settled runs after each round of decisions
 */
public record RuleCheckingPolicy(AdmissionPolicy node, Consumer<Request> taken, Runnable settled)
        implements AdmissionPolicy {
    @Override
    public RequestListener admit(Request request) {
        taken.accept(request);
        return node.admit(request);
    }

    @Override
    public void decide() {
        node.decide();
        settled.run();
    }

    @Override
    public void drain(NanoDuration timeUntilStop) {
        node.drain(timeUntilStop);
    }

    @Override
    public void wake(ResourceUsage resourceUsage) {
        node.wake(resourceUsage);
    }

    @Override
    public void updateSettings(Map<String, String> settings) {
        node.updateSettings(settings);
    }
}
