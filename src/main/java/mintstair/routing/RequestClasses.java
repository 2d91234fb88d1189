package mintstair.routing;

import mintstair.config.InstanceSettings;
import mintstair.decision.Consistency;
import mintstair.decision.RequestClass;

/** The request classes of the current settings, by name. Not safe for use by several threads. */
public final class RequestClasses {
    private InstanceSettings settings;

    RequestClasses(InstanceSettings settings) {
        this.settings = settings;
    }

    void apply(InstanceSettings changed) {
        settings = changed;
    }

    /**
     * Whether the settings have a class of this name. The other methods may be called with names of known classes only.
     */
    public boolean contains(String name) {
        return settings.classes.containsKey(name);
    }

    /** Whether requests of this class are writes. */
    public boolean isWrite(String name) {
        return byName(name).consistency() == Consistency.WRITE;
    }

    /** How long clients wait for an answer of this class where they do not say, in microseconds. */
    public long deadlineMicros(String name) {
        return byName(name).deadlineMicros();
    }

    /** The position of the class among the classes of the settings, by which the decision module knows it. */
    int indexOf(String name) {
        return settings.classes.get(name);
    }

    RequestClass byName(String name) {
        return settings.settings.classes().get(indexOf(name));
    }
}
